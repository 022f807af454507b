import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { StartsReport } from "../../control/index.js";
import { HostId, Incarnation, WorkspaceId } from "../../ids/index.js";
import { VirtualClock } from "../../ports/index.js";
import { TrueTime } from "../../time/index.js";
import { StartMeter } from "../../usage/index.js";
import { decodeValue, EncodedBody } from "../../wire/index.js";
import { StartCountReporter } from "./index.js";

const BUTCHER = "butcher" as WorkspaceId;
const WINDOW_MS = 5_000;

/** A link to a control process that records the reports. */
class FakeLink {
    readonly reports: StartsReport[] = [];

    constructor(public peer: { readonly host: HostId; readonly incarnation: Incarnation; }) {}

    notify(_method: string, body: unknown): void {
        this.reports.push(decodeValue((body as EncodedBody).bytes) as StartsReport);
    }

    /** Highest reported count of the butcher's request starts. */
    get highestCount(): number {
        const counts = this.reports.flatMap(({ windows }) => windows.map(window => window.counts[BUTCHER] ?? 0));
        return Math.max(0, ...counts);
    }
}

describe("StartCountReporter", () => {
    function makeReporter() {
        const clock = new VirtualClock();
        const time = new TrueTime(clock);
        const meter = new StartMeter(WINDOW_MS);
        const makeLink = (host: string) => new FakeLink({ host: host as HostId, incarnation: "1" as Incarnation });
        const links = ["control-1", "control-2"].map(makeLink);
        const state = { holder: links[0] };
        const self = { host: "entry-1" as HostId, incarnation: "1" as Incarnation };
        const reporter = new StartCountReporter({ clock, self, meter, time, links, holderLink: () => state.holder });
        const stop = new AbortController();
        void reporter.run(stop.signal);
        const recordStart = (): void => meter.recordStart(BUTCHER, time.now());
        return { clock, links, state, recordStart, stop, reporter };
    }

    it("reports a new count to the holder within tens of milliseconds", async () => {
        const { clock, links: [holder, other], recordStart, stop } = makeReporter();
        await clock.advance(600);
        recordStart();
        await clock.advance(30);
        assert.deepEqual([holder.highestCount, other.highestCount], [1, 0]);
        stop.abort();
    });

    it("marks the last report when the entry stops", async () => {
        const { links, recordStart, stop, reporter } = makeReporter();
        recordStart();
        reporter.sendToAll(true);
        assert.deepEqual(links.map(({ reports }) => reports.at(-1)?.isLast), [true, true]);
        assert.deepEqual(links.map(({ highestCount }) => highestCount), [1, 1]);
        stop.abort();
    });

    it("reports to all control processes occasionally", async () => {
        const { clock, links: [, other], recordStart, stop } = makeReporter();
        recordStart();
        await clock.advance(2_600);
        assert.equal(other.highestCount, 1);
        stop.abort();
    });

    it("sends all counts to a new holder, and to one that has restarted", async () => {
        // Otherwise a window would be billed in part: its counts were reported to a holder that was lost before it stored them.
        const { clock, links: [first, second], state, recordStart, stop } = makeReporter();
        recordStart();
        await clock.advance(1_900);
        assert.equal(first.highestCount, 1);
        second.reports.length = 0;
        state.holder = second;
        await clock.advance(600);
        assert.equal(second.highestCount, 1);
        second.reports.length = 0;
        second.peer = { ...second.peer, incarnation: "2" as Incarnation };
        await clock.advance(1_100);
        assert.equal(second.highestCount, 1);
        stop.abort();
    });
});
