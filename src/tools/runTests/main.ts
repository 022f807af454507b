/**
 * Runs all tests, unit tests by node:test and scenarios by Cucumber, and closes with one line `N passed, N failed`.
 * Starts a process for each test file, as node:test does.
 */
import { loadConfiguration, runCucumber } from "@cucumber/cucumber/api";
import { existsSync, readdirSync, readFileSync } from "node:fs";
import { availableParallelism } from "node:os";
import { join } from "node:path";
import { run } from "node:test";

interface Tally {
    passed: number;
    failed: string[];
}

const KNOWN_RED_FILE = "KNOWN-RED.txt";
const KNOWN_RED_MOST = 3;

function findTests(folder: string): string[] {
    return readdirSync(folder, { recursive: true, encoding: "utf8" })
        .filter(name => /(^|\/)test\.js$/.test(name))
        .sort()
        .map(name => join(folder, name));
}

async function runUnitTests(files: string[]): Promise<Tally> {
    const tally: Tally = { passed: 0, failed: [] };
    const events = run({ files, concurrency: Math.max(1, Math.floor(availableParallelism() / 2)) });
    for await (const { type, data } of events as AsyncIterable<{ type: string; data: TestData; }>) {
        if (type === "test:stdout" || type === "test:stderr") continue;
        if (type !== "test:pass" && type !== "test:fail") continue;
        if (data.details.type === "suite" || data.name.endsWith("test.js")) {
            // A file whose process died reports no test of its own; a suite's failure is that of its tests.
            if (type === "test:fail" && data.name.endsWith("test.js") && isCrash(data)) tally.failed.push(data.name);
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

interface TestData {
    readonly name: string;
    readonly file?: string;
    readonly details: {
        readonly type?: string;
        readonly error?: { readonly failureType?: string; readonly cause?: unknown; };
    };
}

function isCrash(data: TestData): boolean {
    if (data.details.error?.failureType === "subtestsFailed") return false;
    console.log(`FAILED ${data.name}\n${describeFailure(data)}`);
    return true;
}

function describeFailure(data: TestData): string {
    const cause = data.details.error?.cause;
    return cause instanceof Error ? String(cause.stack) : String(cause ?? data.details.error);
}

async function runScenarios(): Promise<Tally> {
    const tally: Tally = { passed: 0, failed: [] };
    if (!existsSync("features") || !readdirSync("features").some(name => name.endsWith(".feature"))) return tally;
    const names = new Map<string, string>();
    const pickles = new Map<string, string>();
    const cases = new Map<string, string>();
    const bad = new Map<string, string>();
    const { runConfiguration } = await loadConfiguration({
        provided: {
            paths: ["features/**/*.feature"],
            import: ["dist/features/**/*.js"],
            format: ["summary"],
            publish: false,
        },
    });
    await runCucumber(runConfiguration, {}, envelope => {
        if (envelope.pickle) names.set(envelope.pickle.id, envelope.pickle.name);
        if (envelope.testCase) pickles.set(envelope.testCase.id, envelope.testCase.pickleId);
        if (envelope.testCaseStarted) cases.set(envelope.testCaseStarted.id, envelope.testCaseStarted.testCaseId);
        const finished = envelope.testStepFinished;
        if (finished && finished.testStepResult.status !== "PASSED") {
            bad.set(finished.testCaseStartedId, finished.testStepResult.status);
        }
        if (envelope.testCaseFinished) {
            const id = envelope.testCaseFinished.testCaseStartedId;
            const name = names.get(pickles.get(cases.get(id)!)!)!;
            if (bad.has(id)) tally.failed.push(name);
            else tally.passed++;
        }
    });
    return tally;
}

/** Known faults: one line each, `test name | cause | issue`. They are printed and do not fail the run. */
function readKnownRed(): string[] {
    if (!existsSync(KNOWN_RED_FILE)) return [];
    const lines = readFileSync(KNOWN_RED_FILE, "utf8").split("\n").filter(line => line.trim() && !line.startsWith("#"));
    if (lines.length > KNOWN_RED_MOST) {
        throw new Error(`${KNOWN_RED_FILE} has ${lines.length} lines; ${KNOWN_RED_MOST} at most`);
    }
    return lines;
}

const unit = await runUnitTests(findTests("dist"));
const scenarios = await runScenarios();
const failed = [...unit.failed, ...scenarios.failed];
const knownRed = readKnownRed();
const isKnown = (name: string): boolean => knownRed.some(line => line.split("|")[0].trim() === name);
for (const line of knownRed) console.log(`KNOWN RED: ${line}`);
const unexpected = failed.filter(name => !isKnown(name));
for (const name of unexpected) console.log(`failed: ${name}`);
console.log(`${unit.passed + scenarios.passed} passed, ${unexpected.length} failed`);
process.exit(unexpected.length > 0 ? 1 : 0);
