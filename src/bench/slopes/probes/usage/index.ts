import { ControlState } from "../../../../control/index.js";
import { WindowStart } from "../../../../ids/index.js";
import { UsageBatchCommand } from "../../../../usage/index.js";
import { decodeValue, encodeValue } from "../../../../wire/index.js";
import { timeCalls, timeRuns, weigh } from "../../measures/index.js";
import { Probe, SlopeRecorder } from "../../probe/index.js";
import { nameWorkspace, SampleState } from "../_lib/sampleState.js";

const LINE_COUNTS = [5_000, 10_000, 20_000, 40_000];
const WINDOW_COUNTS = [1, 2, 4, 8];
const BATCH_LINES = [1, 5, 10, 20, 40];
const LINES_A_WINDOW = 10_000;
const WINDOW_MS = 60_000;
const FIRST_WINDOW = 1_780_000_020_000;
const POOLS = 3;

/** Usage in the replicated state: by lines in a window, by closed windows that wait, and by lines in a batch. */
export class UsageProbe extends Probe {
    readonly name = "usage";

    async run(recorder: SlopeRecorder): Promise<void> {
        for (const lines of LINE_COUNTS) weighWindow(lines, recorder);
        for (const windows of WINDOW_COUNTS) weighClosedWindows(windows, recorder);
        for (const lines of LINE_COUNTS) await measureWindow(lines, recorder);
        for (const windows of WINDOW_COUNTS) await measureClosedWindows(windows, recorder);
        for (const lines of BATCH_LINES) await measureBatch(lines, recorder);
    }
}

function weighWindow(lines: number, recorder: SlopeRecorder): void {
    const packed = encodeValue(fillWindows(1, lines).state.snapshot());
    recorder.add("usage.window.bytes", lines, packed.length);
    recorder.add("usage.window.heap", lines, weigh(() => restore(packed)).bytes);
}

function weighClosedWindows(windows: number, recorder: SlopeRecorder): void {
    const packed = encodeValue(fillClosedWindows(windows).state.snapshot());
    recorder.add("usage.closed.heap", windows, weigh(() => restore(packed)).bytes);
}

async function measureWindow(lines: number, recorder: SlopeRecorder): Promise<void> {
    const sample = fillWindows(1, lines);
    recorder.addAll("usage.window.report", lines, await timeRuns(() => JSON.stringify(sample.state.usage.listOpen())));
}

async function measureClosedWindows(windows: number, recorder: SlopeRecorder): Promise<void> {
    const sample = fillClosedWindows(windows);
    recorder.addAll("usage.closed.snapshot", windows, await timeRuns(() => encodeValue(sample.state.snapshot())));
}

async function measureBatch(lines: number, recorder: SlopeRecorder): Promise<void> {
    const sample = new SampleState();
    let sequence = 1;
    recorder.add("usage.batch.bytes", lines, encodeValue(makeBatch(0, 0, lines, sequence)).length);
    const count = (): unknown => sample.apply(makeBatch(0, 0, lines, sequence++));
    recorder.addAll("usage.batch.apply", lines, await timeCalls(count));
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
    const sample = fillWindows(windows, LINES_A_WINDOW);
    sample.apply({ kind: "usage.close", window: windowAt(windows - 1), windowMs: WINDOW_MS });
    return sample;
}

function makeBatch(window: number, first: number, lines: number, sequence: number): UsageBatchCommand {
    const sums = Array.from({ length: lines }, (_, index) => ({
        window: windowAt(window),
        line: {
            workspace: nameWorkspace(Math.floor((first + index) / POOLS)),
            pool: `general-70b-${(first + index) % POOLS}`,
            class: "class-3",
            requests: 3,
            prompt_tokens: 2_400,
            completion_tokens: 760,
        },
    }));
    return { kind: "usage.batch", host: "north-2-entry-17", incarnation: "0f".repeat(16), sequence, sums };
}

function windowAt(index: number): WindowStart {
    return FIRST_WINDOW + index * WINDOW_MS as WindowStart;
}

function restore(packed: Uint8Array): ControlState {
    const state = new ControlState();
    state.restore(decodeValue(packed));
    return state;
}
