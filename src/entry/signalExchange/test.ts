import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { Grant } from "../../dispatch/index.js";
import { HostId, PoolId, RequestId, SoftwareVersion, UpstreamId } from "../../ids/index.js";
import { SilentLogger } from "../../logging/index.js";
import { NoMetrics } from "../../metrics/index.js";
import { VirtualClock } from "../../ports/index.js";
import { makeAnnouncement, NO_SIGNALS, SoftwareView, UpstreamRegistry, UpstreamSignals } from "../../upstream/index.js";
import { PeerLink } from "../../wire/index.js";
import { SignalExchange } from "./index.js";

const UPSTREAM = "u1" as UpstreamId;
const POOL = "draft" as PoolId;
const OWNER = "control-1" as HostId;

/** An exchange of a host that does not own the pool's queue, and what it has told other hosts. */
function makeExchange() {
    const clock = new VirtualClock();
    const registry = new UpstreamRegistry({ clock });
    registry.announce(makeAnnouncement({ incarnation: 2 }));
    const notices: string[] = [];
    const departures: number[] = [];
    const notify = (method: string): void => void notices.push(method);
    const exchange = new SignalExchange({
        clock,
        software: new SoftwareView(registry),
        registry,
        logger: new SilentLogger(),
        metrics: new NoMetrics(),
        self: "entry-1" as HostId,
        directory: { linkTo: () => ({ notify }) as unknown as PeerLink },
        local: {
            recordLimit: () => undefined,
            recordRejectionLimit: () => undefined,
            recordBackOff: () => undefined,
        },
        ownerOf: () => OWNER,
        reportDeparture: (_pool, { incarnation }) => void departures.push(incarnation),
    });
    const record = (
        signals: Partial<UpstreamSignals>,
        incarnation?: number,
        isQuery = false,
    ): void =>
        exchange.recordAnswer({
            pool: POOL,
            upstream: UPSTREAM,
            incarnation,
            request: isQuery ? undefined : "r1" as RequestId,
            signals: { ...NO_SIGNALS, ...signals },
        });
    return { clock, registry, exchange, notices, departures, record };
}

describe("SignalExchange", () => {
    describe("a limit on rejections", () => {
        it("is told to the queue's owner when it begins, changes and ends", () => {
            const { exchange, notices, record } = makeExchange();
            for (const rejectionLimit of [10, 10, 5, undefined, undefined]) record({ rejectionLimit });
            assert.deepEqual(notices, Array.from({ length: 3 }, () => "dispatch.rejection-limit"));
            assert.deepEqual(exchange.listRejectionLimits(POOL), []);
        });

        it("is not ended by an unreadable one, nor by the answer to a query of this system's own", () => {
            const { exchange, record } = makeExchange();
            record({ rejectionLimit: 10 });
            record({ rejectionLimit: Number.NaN });
            record({}, undefined, true);
            assert.deepEqual(exchange.listRejectionLimits(POOL).map(({ perSecond }) => perSecond), [10]);
            exchange.forget(UPSTREAM);
            assert.deepEqual(exchange.listRejectionLimits(POOL), []);
        });

        it("is known from grants, too", () => {
            // A host that must decide on its own has perhaps had no answer of the upstream.
            const { exchange } = makeExchange();
            const grant = { upstream: UPSTREAM, rejectionLimit: { perSecond: 4, ageMs: 20 } } as Grant;
            exchange.recordGrant(POOL, grant);
            assert.deepEqual(exchange.listRejectionLimits(POOL), [{ upstream: UPSTREAM, perSecond: 4, ageMs: 20 }]);
        });
    });

    describe("a back-off", () => {
        it("blocks grants that were made before, until its end", async () => {
            // Such a grant is on its way while the answer arrives, and its owner could not know.
            const { clock, exchange, record } = makeExchange();
            assert.equal(exchange.findBlock({ upstream: UPSTREAM }), undefined);
            record({ backOffMs: 3_000 });
            await clock.advance(1_000);
            const block = { reason: "backing-off", leftMs: 2_000, ageMs: 1_000 };
            assert.deepEqual(exchange.findBlock({ upstream: UPSTREAM }), block);
            assert.deepEqual(exchange.listBackOffs(POOL), [{ upstream: UPSTREAM, leftMs: 2_000 }]);
            await clock.advance(2_000);
            assert.equal(exchange.findBlock({ upstream: UPSTREAM }), undefined);
        });

        it("is told to the queue's owner whenever an answer begins or prolongs it", async () => {
            const { clock, notices, record } = makeExchange();
            record({ backOffMs: 3_000 });
            await clock.advance(500);
            record({ backOffMs: 100 });
            record({ backOffMs: 3_000 });
            assert.deepEqual(notices, ["dispatch.back-off", "dispatch.back-off"]);
        });

        it("is not begun by an unreadable time, and ends with the upstream", () => {
            const { exchange, record } = makeExchange();
            record({ backOffMs: Number.NaN });
            assert.equal(exchange.findBlock({ upstream: UPSTREAM }), undefined);
            record({ backOffMs: 3_000 });
            exchange.forget(UPSTREAM);
            assert.equal(exchange.findBlock({ upstream: UPSTREAM }), undefined);
        });
    });

    describe("the software that must run a request", () => {
        const OLD = "1.0" as SoftwareVersion;
        const NEW = "2.0" as SoftwareVersion;

        it("blocks grants for an upstream that runs other software, whatever the grant says", () => {
            // The owner of a queue may know less than this host, or be of a build that ignores the constraint.
            const { exchange } = makeExchange();
            assert.equal(exchange.findBlock({ upstream: UPSTREAM, incarnation: 2, software: OLD }, OLD), undefined);
            const other = { upstream: UPSTREAM, incarnation: 2, software: NEW };
            assert.deepEqual(exchange.findBlock(other, NEW), { reason: "other-software" });
        });

        it("blocks grants for an incarnation that has been replaced, or that nobody knows", () => {
            const { exchange } = makeExchange();
            const replaced = { upstream: UPSTREAM, incarnation: 1, software: OLD };
            assert.deepEqual(exchange.findBlock(replaced, OLD), { reason: "other-software" });
            const unknown = { upstream: "u9" as UpstreamId, incarnation: 1 };
            assert.deepEqual(exchange.findBlock(unknown, OLD), { reason: "other-software" });
        });
    });

    describe("a departure", () => {
        it("blocks grants for that incarnation, and is reported once", () => {
            const { exchange, departures, record } = makeExchange();
            record({ isLeaving: true }, 2);
            record({ isLeaving: true }, 2);
            assert.deepEqual(exchange.findBlock({ upstream: UPSTREAM, incarnation: 2 }), { reason: "leaving" });
            assert.equal(exchange.findBlock({ upstream: UPSTREAM, incarnation: 3 }), undefined);
            assert.deepEqual(departures, [2]);
        });

        it("is that of the known incarnation where the grant names none", () => {
            const { exchange, departures, record } = makeExchange();
            record({ isLeaving: true });
            assert.deepEqual(exchange.findBlock({ upstream: UPSTREAM }), { reason: "leaving" });
            assert.deepEqual(departures, [2]);
        });
    });

    describe("a limit", () => {
        it("stays in force after the answer to a query that leaves it out", () => {
            const { exchange, record } = makeExchange();
            record({ requestLimit: 2 });
            record({}, 2, true);
            assert.equal(exchange.listLimits(POOL).length, 1);
            record({}, 2);
            assert.equal(exchange.listLimits(POOL).length, 0);
        });
    });
});
