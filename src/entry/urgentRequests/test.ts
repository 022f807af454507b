import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
    KindSummary,
    listInversions,
    PROMPT_KINDS,
    PromptLoad,
    RoutedFleet,
    SMALL_MEMORY_ENGINE,
    summarizeKinds,
} from "../../faultInjection/index.js";
import { PoolId } from "../../ids/index.js";
import { SeededRandom } from "../../ports/index.js";

const POOL = "ledger" as PoolId;
const ENTRIES = 20;
const UPSTREAMS = 12;
const CONTROLS = [0, 1, 2, 3, 4];
const KINDS = Object.values(PROMPT_KINDS);
/** Most workspaces have the same rank, so that their requests differ in that of their routes. */
const WORKSPACES = [
    { name: "first", tier: 0, weight: 1 },
    { name: "second", tier: 1, weight: 3 },
    { name: "third", tier: 1, weight: 6 },
];
const BURST = { sheet: 3 };
/** Number of requests that may be put back while less urgent ones stay at their upstream. */
const MAX_INVERSIONS = 9;
/** By how much urgent requests may begin in time less often than less urgent ones, as a share of the requests. */
const MAX_SERVED_GAP = 0.05;
/** How many urgent streams that begin in time must have no long pause, as a share. */
const MIN_SMOOTH_SHARE = 0.9;
/** By how much urgent streams may be on time less often than less urgent ones, as a share of the requests. */
const MAX_ON_TIME_GAP = 0.15;

/** How often urgent requests must begin in time where hosts are lost, against how often they do where none is. */
const MIN_KEPT_SHARE = 0.9;

/** What happens to a fleet in the middle of a burst of long prompts. */
type Fault = (fleet: RoutedFleet, load: PromptLoad) => Promise<void>;

async function killControls(fleet: RoutedFleet, numbers: readonly number[]): Promise<void> {
    for (const number of numbers) await fleet.run(fleet.killControl(number));
}

async function restartControls(fleet: RoutedFleet): Promise<void> {
    for (const number of CONTROLS) {
        if (!fleet.controls[number]) await fleet.run(fleet.startControl(number));
    }
}

const FAULTS: Readonly<Record<string, Fault>> = {
    "nothing is lost": (_fleet, load) => load.sendFor(3_000, BURST),
    "the owner of the queue is lost": async (fleet, load) => {
        await killControls(fleet, [fleet.queueOwner(POOL)]);
        await load.sendFor(3_000, BURST);
    },
    "the owner and its successor are lost": async (fleet, load) => {
        await killControls(fleet, [fleet.queueOwner(POOL)]);
        await load.sendFor(500, BURST);
        await killControls(fleet, [fleet.queueOwner(POOL)]);
        await load.sendFor(2_500, BURST);
    },
    "all control hosts are lost": async (fleet, load) => {
        await killControls(fleet, CONTROLS);
        await load.sendFor(2_000, BURST);
        await restartControls(fleet);
        await load.sendFor(1_000, BURST);
        await fleet.retireUpstream(0, 2_500);
        await fleet.retireUpstream(1, 2_500);
        fleet.upstreams[2].fallSilent(3_000);
        await load.sendFor(2_000, BURST);
    },
    "half of the entries lose the owner of the queue": async (fleet, load) => {
        const owner = fleet.queueOwner(POOL);
        const half = Array.from({ length: ENTRIES / 2 }, (_, entry) => entry);
        fleet.cutControlFromEntries(owner, half);
        await load.sendFor(3_000, BURST);
        fleet.restoreControlToEntries(owner, half);
        await load.sendFor(1_000, BURST);
    },
    "the entries are cut apart": async (fleet, load) => {
        fleet.cutEntriesApart();
        await load.sendFor(2_000, BURST);
        fleet.cutEntriesApart(false);
        await load.sendFor(1_500, BURST);
    },
};

/** What became of the prompts of one run. */
interface PlayResult {
    readonly inversions: number;
    readonly question: KindSummary;
    readonly sheet: KindSummary;
}

const results = new Map<string, Promise<PlayResult>>();

/** Plays a fault once for all tests. */
function play(name: string): Promise<PlayResult> {
    const known = results.get(name);
    if (known) return known;
    const result = playFault(FAULTS[name]);
    results.set(name, result);
    return result;
}

async function playFault(fault: Fault): Promise<PlayResult> {
    const upstreams = Array.from({ length: UPSTREAMS }, () => ({ slots: 12, engine: SMALL_MEMORY_ENGINE }));
    const fleet = new RoutedFleet({ entries: ENTRIES, upstreams, queueHosts: true });
    await fleet.start(PromptLoad.makeDocument(KINDS, WORKSPACES, SMALL_MEMORY_ENGINE));
    const load = new PromptLoad(fleet, new SeededRandom(2), KINDS, WORKSPACES);
    await load.sendFor(3_000);
    await load.sendFor(1_000, BURST);
    await fault(fleet, load);
    await load.sendFor(2_000);
    const outcomes = await load.finish();
    const inversions = listInversions(fleet, outcomes).length;
    await fleet.close();
    const { question, sheet } = summarizeKinds(outcomes);
    return { inversions, question, sheet };
}

describe("urgent requests in a burst of long prompts", () => {
    it("stay at their upstream while less urgent ones do, whatever is lost", async () => {
        // An upstream that takes all requests of a workspace for equally urgent puts the newest back, whatever it is.
        for (const name of Object.keys(FAULTS)) {
            const { inversions } = await play(name);
            assert.ok(inversions <= MAX_INVERSIONS, `${name}: ${inversions} put back`);
        }
    });

    it("begin in time as often as less urgent ones, whatever is lost", async () => {
        // They wait behind less urgent ones wherever hosts send more than the upstreams can run.
        for (const name of Object.keys(FAULTS)) {
            const { question, sheet } = await play(name);
            const figures = `${name}: ${question.inTime.toFixed(3)}, less urgent ones ${sheet.inTime.toFixed(3)}`;
            assert.ok(question.inTime >= sheet.inTime - MAX_SERVED_GAP, figures);
        }
    });

    it("begin in time nine tenths as often where hosts are lost as where none is", async () => {
        // Hosts that decide without knowing what the others sent fill the upstreams with less urgent requests.
        const { question: { inTime } } = await play("nothing is lost");
        for (const name of Object.keys(FAULTS)) {
            const { question } = await play(name);
            const figures = `${name}: ${question.inTime.toFixed(3)} of ${inTime.toFixed(3)}`;
            assert.ok(question.inTime >= MIN_KEPT_SHARE * inTime, figures);
        }
    });

    it("stream without long pauses as often as less urgent ones come on time, whatever is lost", async () => {
        // Their streams stand still while long prompts are read beside them.
        for (const name of Object.keys(FAULTS)) {
            const { question, sheet } = await play(name);
            const figures = `${name}: ${question.onTime.toFixed(3)}, less urgent ones ${sheet.onTime.toFixed(3)}`;
            assert.ok(question.onTime >= sheet.onTime - MAX_ON_TIME_GAP, figures);
        }
    });

    it("have no long pause in nine of ten streams that begin in time", async () => {
        // Long prompts are placed beside urgent streams, which stand still while these are read.
        const { question: { inTime, onTime } } = await play("nothing is lost");
        assert.ok(onTime >= MIN_SMOOTH_SHARE * inTime, `${onTime.toFixed(3)} of ${inTime.toFixed(3)}`);
    });
});
