import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { Either, Left, Right } from "purify-ts";
import { ControlClientError, EntryCommand, ViewCache } from "../../control/index.js";
import { PoolId, RequestFingerprint, UpstreamId } from "../../ids/index.js";
import { SilentLogger } from "../../logging/index.js";
import { NoMetrics } from "../../metrics/index.js";
import { Address, VirtualClock } from "../../ports/index.js";
import { Announcement } from "../../protocol/index.js";
import { PathFinding, Upstream } from "../../upstream/index.js";
import { CrashMonitor } from "./index.js";

const ADDRESS: Address = { host: "10.0.0.2", port: 9000 };
const REQUEST = "f1" as RequestFingerprint;

type Reply = Either<ControlClientError, unknown>;

describe("CrashMonitor", () => {
    /** Starts a monitor of upstreams at whose addresses nothing listens, and collects its reports. */
    function startMonitor(
        parts: Partial<Announcement> = {},
        replies: Reply[] = [],
        findings: PathFinding[] = [],
    ) {
        const clock = new VirtualClock();
        const reports: EntryCommand[] = [];
        const announcement = { incarnation: 1, state: "ready", address: "10.0.0.2:9000", ...parts } as Announcement;
        const monitor = new CrashMonitor({
            clock,
            probe: async () => findings.shift() ?? "crashed",
            logger: new SilentLogger(),
            metrics: new NoMetrics(),
            registry: { get: () => new Upstream(announcement, 0, true) },
            client: {
                command: async <Result>(command: EntryCommand) => {
                    reports.push(command);
                    const reply = replies.shift() ?? Right({ revision: 0 });
                    return reply as Either<ControlClientError, Result>;
                },
            },
            cache: new ViewCache(),
            time: { now: () => clock.monotonic() },
        });
        const stop = new AbortController();
        const run = monitor.run(stop.signal);
        const stopMonitor = (): Promise<void> => {
            stop.abort();
            return clock.runUntil(run, 10_000);
        };
        return { clock, monitor, reports, stopMonitor };
    }

    function endConnection(monitor: CrashMonitor, upstream: string, fingerprint: string = REQUEST): void {
        const target = { pool: "draft" as PoolId, upstream: upstream as UpstreamId, incarnation: 1, address: ADDRESS };
        monitor.recordConnectionEnd(fingerprint as RequestFingerprint, target);
    }

    it("reports all calls that were running on an upstream in one report", async () => {
        const { clock, monitor, reports, stopMonitor } = startMonitor();
        for (const fingerprint of ["f1", "f2", "f1"]) endConnection(monitor, "a", fingerprint);
        await clock.advance(100);
        assert.deepEqual(reports, [{
            kind: "crash.note",
            crashes: [{ upstream: "a", incarnation: 1, fingerprints: ["f1", "f2"] }],
        }]);
        await stopMonitor();
    });

    it("repeats a report that failed, and quarantines the request locally meanwhile", async () => {
        const failure: Reply = Left(new ControlClientError(true, "no answer in time"));
        const { clock, monitor, reports, stopMonitor } = startMonitor({}, [failure, failure, failure]);
        for (const upstream of ["a", "b", "c"]) {
            endConnection(monitor, upstream);
            await clock.advance(40);
        }
        assert.notEqual(monitor.quarantineLeftMs(REQUEST), undefined);
        await clock.advance(2_000);
        const last = reports.at(-1) as { crashes: readonly unknown[]; };
        assert.equal(last.crashes.length, 3);
        // From here on the log decides; its view does not list the request.
        assert.equal(monitor.quarantineLeftMs(REQUEST), undefined);
        await stopMonitor();
    });

    it("reports nothing of an upstream that listens, or that only other hosts reach", async () => {
        for (const finding of ["open", "cut-off"] as const) {
            const { clock, monitor, reports, stopMonitor } = startMonitor({}, [], [finding]);
            endConnection(monitor, "a");
            await clock.advance(1_000);
            assert.deepEqual(reports, []);
            await stopMonitor();
        }
    });

    it("probes an upstream that nobody reaches three times", async () => {
        const unreachable: PathFinding[] = ["unreachable", "unreachable", "unreachable"];
        for (const [findings, count] of [[unreachable, 0], [unreachable.slice(1), 1]] as const) {
            const { clock, monitor, reports, stopMonitor } = startMonitor({}, [], [...findings]);
            endConnection(monitor, "a");
            await clock.advance(1_000);
            assert.equal(reports.length, count);
            await stopMonitor();
        }
    });

    it("does not count connections of an upstream that was expected to end", async () => {
        // Without this, requests would be quarantined because the platform reclaims the upstreams that run them.
        for (const parts of [{ state: "gone" }, { state: "leaving", reclaim_in_ms: 500 }] as const) {
            const { clock, monitor, reports, stopMonitor } = startMonitor(parts);
            endConnection(monitor, "a");
            await clock.advance(100);
            assert.deepEqual(reports, []);
            await stopMonitor();
        }
    });

    it("bounds the crashes and calls that it keeps while control can't be reached", async () => {
        const failures = Array.from({ length: 100 }, () => Left(new ControlClientError(true, "no answer")) as Reply);
        const { clock, monitor, reports, stopMonitor } = startMonitor({}, failures);
        for (let number = 0; number < 300; number++) endConnection(monitor, `u${number}`, `f${number}`);
        for (let number = 0; number < 1_000; number++) endConnection(monitor, "v", `f${number}`);
        await clock.advance(1_000);
        const last = reports.at(-1) as { crashes: readonly { fingerprints: readonly string[]; }[]; };
        assert.equal(last.crashes.length, 64);
        assert.equal(last.crashes.at(-1)!.fingerprints.length, 256);
        await stopMonitor();
    });
});
