/**
 * Runs all unit tests with node:test and all scenarios with Cucumber, and prints `N passed, N failed` as the last line.
 * Like node:test, starts one process per test file. Tests that measure the memory of processes run at the end, one after the other.
 */
import { loadConfiguration, runCucumber } from "@cucumber/cucumber/api";
import { existsSync, readdirSync, readFileSync } from "node:fs";
import { availableParallelism } from "node:os";
import { join } from "node:path";
import { run } from "node:test";

interface TestTally {
    passed: number;
    failed: string[];
}

const KNOWN_RED_FILE = "KNOWN-RED.txt";
const MAX_KNOWN_RED_LINES = 3;
/** The issue whose known failures don't count towards the limit. */
const UNLIMITED_ISSUE = "Clients that don't behave";
/** Tests that measure the memory of processes: nothing else runs beside them. */
const MEMORY_TESTS = /(^|\/)tools\/crowds\//;

function findTests(folder: string): string[] {
    return readdirSync(folder, { recursive: true, encoding: "utf8" })
        .filter(name => /(^|\/)test\.js$/.test(name))
        .sort()
        .map(name => join(folder, name));
}

/** @param concurrency - Number of files that run at the same time. */
async function runUnitTests(files: string[], concurrency: number): Promise<TestTally> {
    const tally: TestTally = { passed: 0, failed: [] };
    const events = run({ files, concurrency });
    for await (const { type, data } of events as AsyncIterable<{ type: string; data: TestEventData; }>) {
        if (type === "test:stdout" || type === "test:stderr") continue;
        if (type !== "test:pass" && type !== "test:fail") continue;
        if (data.details.type === "suite" || data.name.endsWith("test.js")) {
            // A file whose process crashed reports no tests, so the file counts as failed; a suite fails through its tests.
            if (type === "test:fail" && data.name.endsWith("test.js") && logCrash(data)) tally.failed.push(data.name);
            continue;
        }
        if (type === "test:pass") {
            tally.passed++;
            continue;
        }
        tally.failed.push(data.name);
        console.log(`FAILED ${data.file ?? ""}: ${data.name}\n${describeFailure(data)}`);
    }
    return tally;
}

interface TestEventData {
    readonly name: string;
    readonly file?: string;
    readonly details: {
        readonly type?: string;
        readonly error?: { readonly failureType?: string; readonly cause?: unknown; };
    };
}

function logCrash(data: TestEventData): boolean {
    if (data.details.error?.failureType === "subtestsFailed") return false;
    console.log(`FAILED ${data.name}\n${describeFailure(data)}`);
    return true;
}

function describeFailure(data: TestEventData): string {
    const cause = data.details.error?.cause;
    return cause instanceof Error ? String(cause.stack) : String(cause ?? data.details.error);
}

async function runScenarios(): Promise<TestTally> {
    const tally: TestTally = { passed: 0, failed: [] };
    if (!existsSync("features") || !readdirSync("features").some(name => name.endsWith(".feature"))) return tally;
    const scenarioNames = new Map<string, string>();
    const pickleIds = new Map<string, string>();
    const testCaseIds = new Map<string, string>();
    const failedStatuses = new Map<string, string>();
    const { runConfiguration } = await loadConfiguration({
        provided: {
            paths: ["features/**/*.feature"],
            import: ["dist/features/**/*.js"],
            format: ["summary"],
            publish: false,
        },
    });
    await runCucumber(runConfiguration, {}, envelope => {
        if (envelope.pickle) scenarioNames.set(envelope.pickle.id, envelope.pickle.name);
        if (envelope.testCase) pickleIds.set(envelope.testCase.id, envelope.testCase.pickleId);
        if (envelope.testCaseStarted) testCaseIds.set(envelope.testCaseStarted.id, envelope.testCaseStarted.testCaseId);
        const finished = envelope.testStepFinished;
        if (finished && finished.testStepResult.status !== "PASSED") {
            failedStatuses.set(finished.testCaseStartedId, finished.testStepResult.status);
        }
        if (envelope.testCaseFinished) {
            const id = envelope.testCaseFinished.testCaseStartedId;
            const name = scenarioNames.get(pickleIds.get(testCaseIds.get(id)!)!)!;
            if (failedStatuses.has(id)) tally.failed.push(name);
            else tally.passed++;
        }
    });
    return tally;
}

/** Reads the known failures, one `test name | cause | issue` per line. They are printed and do not fail the run. */
function readKnownRed(): string[] {
    if (!existsSync(KNOWN_RED_FILE)) return [];
    const lines = readFileSync(KNOWN_RED_FILE, "utf8").split("\n").filter(line => line.trim() && !line.startsWith("#"));
    const limited = lines.filter(line => line.split("|").at(-1)?.trim() !== UNLIMITED_ISSUE);
    if (limited.length > MAX_KNOWN_RED_LINES) {
        throw new Error(`${KNOWN_RED_FILE} has ${limited.length} lines; ${MAX_KNOWN_RED_LINES} at most`);
    }
    return lines;
}

const tests = findTests("dist");
const unitTests = await runUnitTests(
    tests.filter(file => !MEMORY_TESTS.test(file)),
    Math.max(1, Math.floor(availableParallelism() / 2)),
);
const scenarios = await runScenarios();
const memoryTests = await runUnitTests(tests.filter(file => MEMORY_TESTS.test(file)), 1);
const tallies = [unitTests, scenarios, memoryTests];
const failed = tallies.flatMap(tally => tally.failed);
const passed = tallies.reduce((sum, tally) => sum + tally.passed, 0);
const knownRed = readKnownRed();
const isKnownRed = (name: string): boolean => knownRed.some(line => line.split("|")[0].trim() === name);
for (const line of knownRed) console.log(`KNOWN RED: ${line}`);
const unexpected = failed.filter(name => !isKnownRed(name));
for (const name of unexpected) console.log(`failed: ${name}`);
console.log(`${passed} passed, ${unexpected.length} failed`);
process.exit(unexpected.length > 0 ? 1 : 0);
