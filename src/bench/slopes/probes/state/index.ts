import { ControlState } from "../../../../control/index.js";
import { decodeValue, encodeValue } from "../../../../wire/index.js";
import { measureHeap, timeCalls, timeRuns } from "../../measures/index.js";
import { Probe, SlopeRecorder } from "../../probe/index.js";
import { SampleState } from "../_lib/sampleState.js";

const WORKSPACE_COUNTS = [5_000, 10_000, 20_000, 30_000, 40_000];

/** Measures the replicated state of a control voter by the number of workspaces. */
export class StateProbe extends Probe {
    readonly name = "state";

    async run(recorder: SlopeRecorder): Promise<void> {
        const sample = new SampleState();
        for (const count of WORKSPACE_COUNTS) {
            sample.growTo(count);
            await measureState(sample, count, recorder);
        }
    }
}

async function measureState(sample: SampleState, count: number, recorder: SlopeRecorder): Promise<void> {
    const packed = encodeValue(sample.state.snapshot());
    recorder.add("state.snapshot.bytes", count, packed.length);
    recorder.addAll("state.snapshot.encode", count, await timeRuns(() => encodeValue(sample.state.snapshot())));
    recorder.addAll("state.snapshot.restore", count, await timeRuns(() => restore(packed)));
    recorder.add("state.heap", count, measureHeap(() => restore(packed)).bytes);
    recorder.addAll("state.change.apply", count, await timeCalls(() => sample.changeLimit(1)));
}

function restore(packed: Uint8Array): ControlState {
    const state = new ControlState();
    state.restore(decodeValue(packed));
    return state;
}
