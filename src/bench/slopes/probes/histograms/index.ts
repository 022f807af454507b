import { HistogramTable } from "../../../../metrics/index.js";
import { measureHeap, timeCalls } from "../../measures/index.js";
import { Probe, SlopeRecorder } from "../../probe/index.js";

const SERIES_COUNTS = [250, 500, 1_000, 2_000];
const VALUES_PER_SERIES = 200;
const MAX_VALUE_MS = 5_000;

/** Measures the memory of histogram series, and the time to record one value. */
export class HistogramProbe extends Probe {
    readonly name = "histograms";

    async run(recorder: SlopeRecorder): Promise<void> {
        fillTable(SERIES_COUNTS[0]);
        const tables = SERIES_COUNTS.map(count => ({ count, ...measureHeap(() => fillTable(count)) }));
        for (const { count, value: table, bytes } of tables) {
            recorder.add("histogram.heap", count, bytes);
            let seriesIndex = 0;
            const record = (): void => {
                seriesIndex = (seriesIndex + 1) % count;
                table.record("wait_ms", seriesIndex, { workspace: `w${seriesIndex}`, class: "interactive" });
            };
            for (const durationUs of await timeCalls(record)) recorder.add("histogram.record", count, durationUs);
        }
    }
}

function fillTable(count: number): HistogramTable {
    const table = new HistogramTable(count);
    for (let index = 0; index < count; index++) {
        for (let step = 0; step < VALUES_PER_SERIES; step++) {
            const value = MAX_VALUE_MS ** (step / VALUES_PER_SERIES);
            table.record("wait_ms", value, { workspace: `w${index}`, class: "interactive" });
        }
    }
    return table;
}
