/**
 * Measures how each part's processor time, memory, messages and bytes grow with its sizes, and writes the page
 * `docs/CAPACITY.md` from the raw figures in `bench/slopes.json`. Run it in the repository's folder, with `--expose-gc`:
 * `main.js probe NAME` measures one part, `main.js list` names the parts.
 */
import { cac } from "cac";
import { FileDisk, SystemClock } from "../../ports/index.js";
import { Probe, SlopeRecorder } from "./probe/index.js";
import { AnnouncementProbe } from "./probes/announcements/index.js";
import { DispatchProbe } from "./probes/dispatch/index.js";
import { HistogramProbe } from "./probes/histograms/index.js";
import { LogProbe } from "./probes/log/index.js";
import { PullProbe } from "./probes/pulls/index.js";
import { StateProbe } from "./probes/state/index.js";
import { UpstreamProbe } from "./probes/upstreams/index.js";
import { UsageProbe } from "./probes/usage/index.js";
import { ViewProbe } from "./probes/view/index.js";
import { WireProbe } from "./probes/wire/index.js";
import { mergeSlopes, readSlopeFile, writeSlopeFile } from "./slopeFile/index.js";

const PROBES: readonly Probe[] = [
    new WireProbe(),
    new AnnouncementProbe(),
    new HistogramProbe(),
    new ViewProbe(),
    new StateProbe(),
    new PullProbe(),
    new UsageProbe(),
    new UpstreamProbe(),
    new DispatchProbe(),
    new LogProbe(),
];
const DATE_LENGTH = "YYYY-MM-DD".length;

const disk = new FileDisk(".");

async function runProbe(name: string): Promise<void> {
    const probe = PROBES.find(candidate => candidate.name === name);
    if (!probe) throw new Error(`no probe ${name}, expected one of ${PROBES.map(({ name }) => name).join(", ")}`);
    const recorder = new SlopeRecorder();
    await probe.run(recorder);
    const date = new Date(new SystemClock().now()).toISOString().slice(0, DATE_LENGTH);
    const slopes = recorder.toSlopes(date);
    await writeSlopeFile(disk, mergeSlopes(await readSlopeFile(disk), slopes));
    console.log(`${name}: ${slopes.length} slopes`);
}

const cli = cac("slopes");
cli.command("list", "Names the probes").action(() => console.log(PROBES.map(({ name }) => name).join("\n")));
cli.command("probe <name>", "Measures one part").action(runProbe);
cli.help();
cli.parse(process.argv, { run: false });
await cli.runMatchedCommand();
process.exit(0);
