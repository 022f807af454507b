import { ControlState } from "../../../../control/index.js";
import { WindowStart } from "../../../../ids/index.js";
import { UsageBatchCommand } from "../../../../usage/index.js";
import { decodeValue, encodeValue } from "../../../../wire/index.js";
import { measureHeap, timeCalls, timeRuns } from "../../measures/index.js";
import { Probe, SlopeRecorder } from "../../probe/index.js";
import { formatWorkspaceId, SampleState } from "../_lib/sampleState.js";

const LINE_COUNTS = [5_000, 10_000, 20_000, 40_000];
const WINDOW_COUNTS = [1, 2, 4, 8];
const BATCH_LINE_COUNTS = [1, 5, 10, 20, 40];
const LINES_PER_WINDOW = 10_000;
const WINDOW_MS = 60_000;
const FIRST_WINDOW_START = 1_780_000_020_000;
const POOL_COUNT = 3;

/** Measures usage in the replicated state by lines in a window, unreported closed windows and lines in a batch. */
export class UsageProbe extends Probe {
    readonly name = "usage";

    async run(recorder: SlopeRecorder): Promise<void> {
        for (const lines of LINE_COUNTS) measureWindowHeap(lines, recorder);
        for (const windows of WINDOW_COUNTS) measureClosedWindowHeap(windows, recorder);
        for (const lines of LINE_COUNTS) await measureWindowReport(lines, recorder);
        for (const windows of WINDOW_COUNTS) await measureClosedWindowSnapshot(windows, recorder);
        for (const lines of BATCH_LINE_COUNTS) await measureBatch(lines, recorder);
    }
}

function measureWindowHeap(lines: number, recorder: SlopeRecorder): void {
    const packed = encodeValue(fillWindows(1, lines).state.snapshot());
    recorder.add("usage.window.bytes", lines, packed.length);
    recorder.add("usage.window.heap", lines, measureHeap(() => restore(packed)).bytes);
}

function measureClosedWindowHeap(windows: number, recorder: SlopeRecorder): void {
    const packed = encodeValue(fillClosedWindows(windows).state.snapshot());
    recorder.add("usage.closed.heap", windows, measureHeap(() => restore(packed)).bytes);
}

async function measureWindowReport(lines: number, recorder: SlopeRecorder): Promise<void> {
    const sample = fillWindows(1, lines);
    recorder.addAll("usage.window.report", lines, await timeRuns(() => JSON.stringify(sample.state.usage.listOpen())));
}

async function measureClosedWindowSnapshot(windows: number, recorder: SlopeRecorder): Promise<void> {
    const sample = fillClosedWindows(windows);
    recorder.addAll("usage.closed.snapshot", windows, await timeRuns(() => encodeValue(sample.state.snapshot())));
}

async function measureBatch(lines: number, recorder: SlopeRecorder): Promise<void> {
    const sample = new SampleState();
    let sequence = 1;
    recorder.add("usage.batch.bytes", lines, encodeValue(makeBatch(0, 0, lines, sequence)).length);
    const applyNextBatch = (): unknown => sample.apply(makeBatch(0, 0, lines, sequence++));
    recorder.addAll("usage.batch.apply", lines, await timeCalls(applyNextBatch));
}

function fillWindows(windows: number, lines: number): SampleState {
    const sample = new SampleState();
    let sequence = 1;
    for (let window = 0; window < windows; window++) {
        for (let first = 0; first < lines; first += 100) sample.apply(makeBatch(window, first, 100, sequence++));
    }
    return sample;
}

function fillClosedWindows(windows: number): SampleState {
    const sample = fillWindows(windows, LINES_PER_WINDOW);
    sample.apply({ kind: "usage.close", window: startOfWindow(windows - 1), windowMs: WINDOW_MS });
    return sample;
}

function makeBatch(window: number, first: number, lines: number, sequence: number): UsageBatchCommand {
    const sums = Array.from({ length: lines }, (_, index) => ({
        window: startOfWindow(window),
        line: {
            workspace: formatWorkspaceId(Math.floor((first + index) / POOL_COUNT)),
            pool: `general-70b-${(first + index) % POOL_COUNT}`,
            class: "class-3",
            requests: 3,
            prompt_tokens: 2_400,
            completion_tokens: 760,
        },
    }));
    return { kind: "usage.batch", host: "north-2-entry-17", incarnation: "0f".repeat(16), sequence, sums };
}

function startOfWindow(index: number): WindowStart {
    return FIRST_WINDOW_START + index * WINDOW_MS as WindowStart;
}

function restore(packed: Uint8Array): ControlState {
    const state = new ControlState();
    state.restore(decodeValue(packed));
    return state;
}
