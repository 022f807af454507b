import { HistogramTable } from "../../../../metrics/index.js";
import { timeCalls, weigh } from "../../measures/index.js";
import { Probe, SlopeRecorder } from "../../probe/index.js";

const SERIES_COUNTS = [250, 500, 1_000, 2_000];
const VALUES_EACH = 200;
const HIGHEST_MS = 5_000;

/** Histograms kept in the process: memory of the series, and what one value costs. */
export class HistogramProbe extends Probe {
    readonly name = "histograms";

    async run(recorder: SlopeRecorder): Promise<void> {
        fillTable(SERIES_COUNTS[0]);
        const tables = SERIES_COUNTS.map(count => ({ count, ...weigh(() => fillTable(count)) }));
        for (const { count, value: table, bytes } of tables) {
            recorder.add("histogram.heap", count, bytes);
            let turn = 0;
            const record = (): void => {
                turn = (turn + 1) % count;
                table.record("wait_ms", turn, { workspace: `w${turn}`, class: "interactive" });
            };
            for (const us of await timeCalls(record)) recorder.add("histogram.record", count, us);
        }
    }
}

function fillTable(count: number): HistogramTable {
    const table = new HistogramTable(count);
    for (let index = 0; index < count; index++) {
        for (let step = 0; step < VALUES_EACH; step++) {
            const value = HIGHEST_MS ** (step / VALUES_EACH);
            table.record("wait_ms", value, { workspace: `w${index}`, class: "interactive" });
        }
    }
    return table;
}
