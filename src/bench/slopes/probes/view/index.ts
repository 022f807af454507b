import { packChange, ViewCache, ViewChange } from "../../../../control/index.js";
import { decodeValue, encodeValue } from "../../../../wire/index.js";
import { measureHeap, timeCalls, timeRuns } from "../../measures/index.js";
import { Probe, SlopeRecorder } from "../../probe/index.js";
import { hashOfFirstKey, SampleState } from "../_lib/sampleState.js";

const WORKSPACE_COUNTS = [5_000, 10_000, 20_000, 30_000, 40_000];

/** Measures an entry's view of the configuration by the number of workspaces. */
export class ViewProbe extends Probe {
    readonly name = "view";

    async run(recorder: SlopeRecorder): Promise<void> {
        const sample = new SampleState();
        for (const count of WORKSPACE_COUNTS) {
            sample.growTo(count);
            await measureView(sample, count, recorder);
        }
    }
}

async function measureView(sample: SampleState, count: number, recorder: SlopeRecorder): Promise<void> {
    const unpacked = sample.state.changeSince(0);
    recorder.add("view.plain.bytes", count, encodeValue(unpacked).length);
    const message = packChange(unpacked);
    const packed = encodeValue(message);
    recorder.add("view.full.bytes", count, packed.length);
    recorder.addAll("view.full.pack", count, await timeRuns(() => packChange(sample.state.changeSince(0))));
    recorder.addAll("view.full.encode", count, await timeRuns(() => encodeValue(message)));
    recorder.addAll("view.full.apply", count, await timeRuns(() => loadView(packed)));
    const { value: cache, bytes } = measureHeap(() => loadView(packed));
    recorder.add("view.heap", count, bytes);
    let keyIndex = 0;
    recorder.addAll(
        "view.find",
        count,
        await timeCalls(() => {
            keyIndex = (keyIndex + 1) % count;
            return cache.findByKey(hashOfFirstKey(keyIndex));
        }),
    );
    const revisionBefore = sample.state.revision;
    sample.changeLimit(0);
    const delta = encodeValue(packChange(sample.state.changeSince(revisionBefore)));
    recorder.add("view.change.bytes", count, delta.length);
    recorder.addAll("view.change.apply", count, await timeCalls(() => cache.apply(decodeValue(delta) as ViewChange)));
}

function loadView(packed: Uint8Array): ViewCache {
    const cache = new ViewCache();
    cache.apply(decodeValue(packed) as ViewChange);
    return cache;
}
