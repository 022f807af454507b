/**
 * Measures how the processor time, memory and traffic of each component grow with its size, and writes the page
 * `docs/COMPONENTS.md` from the samples in `bench/slopes.json`. Run it in the repository's folder, with `--expose-gc`:
 * `main.js probe NAME` measures one component, `main.js list` lists the probes.
 */
import { cac } from "cac";
import { FileDisk, SystemClock } from "../../ports/index.js";
import { COMPONENTS_PAGE, formatComponentsPage } from "./capacity/index.js";
import { SlopeRecorder } from "./probe/index.js";
import { loadProbe, PROBE_NAMES } from "./probes/index.js";
import { mergeSlopes, readSlopeFile, writeSlopeFile } from "./slopeFile/index.js";

const DATE_LENGTH = "YYYY-MM-DD".length;

const disk = new FileDisk(".");

async function runProbe(name: string): Promise<void> {
    const probe = await loadProbe(name);
    const recorder = new SlopeRecorder();
    await probe.run(recorder);
    const date = new Date(new SystemClock().now()).toISOString().slice(0, DATE_LENGTH);
    const slopes = recorder.toSlopes(date);
    await writeSlopeFile(disk, mergeSlopes(await readSlopeFile(disk), slopes));
    console.log(`${name}: ${slopes.length} slopes`);
}

/** Writes the page, or with `check` only fails when the page differs from what the samples give. */
async function writePage({ check }: { readonly check?: boolean; }): Promise<void> {
    const page = formatComponentsPage(await readSlopeFile(disk));
    if (!check) return disk.replace(COMPONENTS_PAGE, Buffer.from(page));
    const currentPage = Buffer.from(await disk.read(COMPONENTS_PAGE) ?? []).toString();
    if (currentPage === page) return;
    console.error(`${COMPONENTS_PAGE} is not what bench/slopes.json gives: run npm run slopes:page`);
    process.exitCode = 1;
}

const cli = cac("slopes");
cli.command("list", "Names the probes").action(() => console.log(PROBE_NAMES.join("\n")));
cli.command("probe <name>", "Measures one part").action(runProbe);
cli.command("page", "Writes docs/COMPONENTS.md from the figures")
    .option("--check", "Only compare")
    .action(writePage);
cli.help();
cli.parse(process.argv, { run: false });
await cli.runMatchedCommand();
process.exit();
