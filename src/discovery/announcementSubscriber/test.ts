import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { HostId, Incarnation, UpstreamId } from "../../ids/index.js";
import { LogFields, Logger } from "../../logging/index.js";
import { MemoryFabric, SeededRandom, VirtualClock } from "../../ports/index.js";
import { makeAnnouncement, UpstreamRegistry } from "../../upstream/index.js";
import { DEFAULT_PEER_TIMING, PeerChannel, PeerLink, PeerRouter, servePeers } from "../../wire/index.js";
import { SUBSCRIBE_METHOD, UPDATE_METHOD } from "../announcementUpdate/index.js";
import { AnnouncementSubscriber } from "./index.js";

/** Time for a subscription and its updates to arrive, in milliseconds. */
const SETTLE_MS = 300;

const NULL: unknown = JSON.parse("null");

class WarningLog extends Logger {
    readonly warnings: LogFields[] = [];

    warn(event: string, fields: LogFields = {}): void {
        this.warnings.push({ event, ...fields });
    }

    debug(): void {}
    info(): void {}
    error(): void {}
}

function makeRecord(id: string, fields: Record<string, unknown> = {}) {
    return { announcement: { ...makeAnnouncement({ id }), ...fields }, ageMs: 0 };
}

/** Runs a subscriber and a publisher that replies to a subscription with one body, and sends the others as updates. */
async function deliver([first, ...others]: readonly unknown[]) {
    const clock = new VirtualClock();
    const fabric = new MemoryFabric(clock, () => 1);
    const running = new AbortController();
    const registry = new UpstreamRegistry({ clock });
    const logger = new WarningLog();
    const router = new PeerRouter();
    const wallTimes: number[] = [];
    const failures: unknown[] = [];
    const subscriber = new AnnouncementSubscriber({
        clock,
        registry,
        router,
        logger,
        onWallTime: (_, wallMs) => void wallTimes.push(wallMs),
    });
    const publisherRouter = new PeerRouter();
    const channels: PeerChannel[] = [];
    publisherRouter.add(SUBSCRIBE_METHOD, (_, channel) => {
        channels.push(channel);
        return first;
    });
    await servePeers({
        clock,
        self: { host: "control" as HostId, incarnation: "1" as Incarnation },
        router: publisherRouter,
        timing: DEFAULT_PEER_TIMING,
        network: fabric.network("control"),
        address: { host: "control", port: 1 },
    });
    const link = new PeerLink({
        clock,
        router,
        self: { host: "entry" as HostId, incarnation: "1" as Incarnation },
        timing: DEFAULT_PEER_TIMING,
        network: fabric.network("entry"),
        random: new SeededRandom(1),
        address: { host: "control", port: 1 },
        onOpen: channel => void subscriber.subscribe(channel).catch(err => failures.push(err)),
    });
    void link.run(running.signal);
    await clock.advance(SETTLE_MS);
    for (const update of others) {
        for (const channel of channels) channel.notify(UPDATE_METHOD, update);
        await clock.advance(SETTLE_MS);
    }
    running.abort();
    const known = registry.listAll().map(({ id }) => id);
    return { known, registry, failures, subscriptions: channels.length, wallTimes, warnings: logger.warnings };
}

describe("AnnouncementSubscriber", () => {
    const odd: readonly (readonly [string, unknown])[] = [
        ["nothing", undefined],
        ["null", NULL],
        ["a text", "u2"],
        ["a record without an announcement", { ageMs: 0 }],
        ["an announcement without pools", makeRecord("u2", { pools: undefined })],
        ["an announcement of pools that are no list", makeRecord("u2", { pools: 7 })],
        ["an announcement without a load", makeRecord("u2", { load: undefined })],
        ["an announcement with an address that is no text", makeRecord("u2", { address: { host: 1 } })],
        ["a record of an age that is no number", { ...makeRecord("u2"), ageMs: "old" }],
        ["a record from the future", { ...makeRecord("u2"), ageMs: -1e9 }],
    ];

    for (const [name, record] of odd) {
        describe(`a list with ${name}`, () => {
            it("keeps the other upstreams when it subscribes", async () => {
                // Failure: the process ends on each subscription, or never learns of the upstreams behind the entry.
                const records = [makeRecord("u1"), record, makeRecord("u3")];
                const { known, failures, subscriptions, wallTimes } = await deliver([{ records, wallMs: 5 }]);
                assert.deepEqual([failures, known, subscriptions, wallTimes], [[], ["u1", "u3"], 1, [5]]);
            });

            it("keeps the other upstreams when it is updated, and logs and counts the entry", async () => {
                // Failure: each update with the entry is dropped as a whole, without a trace.
                const update = { records: [makeRecord("u1"), record, makeRecord("u3")], wallMs: 6 };
                const { known, wallTimes, warnings } = await deliver([{ records: [], wallMs: 5 }, update]);
                assert.deepEqual([known, wallTimes], [["u1", "u3"], [5, 6]]);
                assert.deepEqual(warnings.map(({ event, entries }) => [event, entries]), [["entries-rejected", 1]]);
            });
        });
    }

    it("takes what it can of an update that is malformed elsewhere", async () => {
        // Failure: a wall time that is no number makes the time agreed upon by all hosts one, too.
        const lapsed = [NULL, { id: "u1", ageMs: "old" }];
        const update = { records: [makeRecord("u1")], lapsed, wallMs: Number.NaN };
        const { known, registry, wallTimes } = await deliver([{ records: [], wallMs: 5 }, update, 7, undefined]);
        assert.deepEqual([known, wallTimes], [["u1"], [5]]);
        assert.equal(registry.get("u1" as UpstreamId)?.state, "ready");
    });

    it("logs an entry that each update repeats at a limited rate", async () => {
        // Failure: the log of each host fills with one line per update.
        const update = { records: [NULL], wallMs: 5 };
        const { warnings } = await deliver([{ records: [], wallMs: 5 }, ...Array(10).fill(update)]);
        assert.equal(warnings.length, 1);
    });
});
