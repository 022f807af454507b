import assert from "node:assert/strict";
import { afterEach, describe, it } from "node:test";
import { RoutedFleet, sendCalls } from "../../faultInjection/index.js";
import { WorkspaceId, ZoneId } from "../../ids/index.js";
import { makeDocument, makeRoute } from "../../routing/index.js";

const KEY = "butcher-key";
const WORKSPACE = "butcher" as WorkspaceId;
const ENTRIES = [0, 1, 2];
const CONTROLS = [0, 1, 2, 3, 4];
/** Time in which entries' counts of request starts reach the control log, in milliseconds. */
const RECORDED_AFTER_MS = 250;

describe("the loss of power at all hosts at once, of two with their disks", () => {
    const fleet = { running: undefined as RoutedFleet | undefined };

    async function startFleet(): Promise<RoutedFleet> {
        const started = new RoutedFleet({ entries: ENTRIES.length, queueHosts: true, zones: ["vogar", "keflavik"] });
        fleet.running = started;
        await started.start(makeDocument({ routes: [makeRoute({ kind: "idempotent", timeoutMs: 4_000 })] }));
        return started;
    }

    async function losePower(running: RoutedFleet): Promise<void> {
        for (const number of ENTRIES) void running.killEntry(number);
        for (const number of CONTROLS) void running.killControl(number);
        await running.advance(1_000);
        running.wipeDisk(1);
        running.wipeDisk(3);
        await running.run(Promise.all(CONTROLS.map(number => running.startControl(number))));
        await running.run(Promise.all(ENTRIES.map(number => running.startEntry(number))));
        await running.advance(8_000);
    }

    async function countAnswered(running: RoutedFleet): Promise<number> {
        const replies = await running.run(
            Promise.all(await sendCalls(running, { seconds: 0.3, perSecond: 100, key: KEY })),
        );
        return replies.filter(({ status }) => status === 200).length;
    }

    /** Returns how many started requests of the workspace the control log holds. */
    function countStarts(running: RoutedFleet): number {
        const { starts, openStarts } = running.controls[running.holder()]!.state;
        const closed = starts.listUnreported().map(({ counts }) => counts[WORKSPACE] ?? 0);
        const open = openStarts.list().flatMap(({ windows }) => windows.map(({ counts }) => counts[WORKSPACE] ?? 0));
        return [...closed, ...open].reduce((sum, count) => sum + count, 0);
    }

    afterEach(() => fleet.running?.close());

    it("keeps the document and the zone order that were acknowledged last, and the counts of recorded starts", async () => {
        const running = await startFleet();
        const answered = await countAnswered(running);
        await running.advance(RECORDED_AFTER_MS);
        assert.ok(await running.submitZoneOrder("zone.evacuate", "keflavik"));
        assert.ok(await running.replaceDocument(makeDocument({ version: 7, routes: [makeRoute({})] })));
        await losePower(running);
        const { state, routing } = running.controls[running.holder()]!;
        const { documents } = routing!;
        assert.equal((await running.run(documents.read())).unsafeCoerce()?.document.version, 7);
        assert.ok(state.zones.isEvacuated("keflavik" as ZoneId));
        assert.equal(countStarts(running), answered);
    });

    it("loses no start of a request that was answered just before", async () => {
        // Entries' new counts reach the control log with a delay; an answer must not be given earlier than its count is durable.
        const running = await startFleet();
        const answered = await countAnswered(running);
        await losePower(running);
        assert.equal(countStarts(running), answered);
    });
});
