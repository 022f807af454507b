import { ChildProcess, spawn } from "node:child_process";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";

const DIST = join(dirname(fileURLToPath(import.meta.url)), "..", "..");

/** Exit code of a launcher that was ended by a signal. */
const EXIT_SIGNALLED = 130;
/** Running child processes. They are killed when the launcher exits: a crashed launcher would leave its fleet running. */
const runningChildren = new Set<ChildProcess>();
process.once("exit", () => {
    for (const child of runningChildren) child.kill("SIGKILL");
});
// The default action of a signal ends the launcher without "exit".
for (const signal of ["SIGTERM", "SIGINT", "SIGHUP"] as const) process.once(signal, () => process.exit(EXIT_SIGNALLED));

/** Exit status of a program. */
export interface ProgramExit {
    readonly code: number | undefined;
    readonly signal: string | undefined;
}

/**
 * One of the project's programs, running as a child process.
 *
 * @example
 * const daemon = new Program("daemon/main.js", ["--settings", "entry.ini"]);
 */
export class Program {
    readonly exited: Promise<ProgramExit>;
    private readonly child: ChildProcess;
    private stdoutText = "";
    private stderrText = "";
    private isAlive = true;
    private areStreamsClosed = false;

    /**
     * @param script - Path of the program's script, relative to the build folder.
     * @param args - Command-line arguments.
     * @param nodeFlags - Flags of Node.js.
     */
    constructor(script: string, args: readonly string[], nodeFlags: readonly string[] = []) {
        const words = [...nodeFlags, join(DIST, script), ...args];
        this.child = spawn(process.execPath, words, { stdio: ["ignore", "pipe", "pipe"] });
        runningChildren.add(this.child);
        this.child.once("exit", () => runningChildren.delete(this.child));
        this.child.stdout!.on("data", chunk => this.stdoutText += chunk);
        this.child.stderr!.on("data", chunk => this.stderrText += chunk);
        this.exited = new Promise(resolve => {
            this.child.once("exit", () => this.isAlive = false);
            // Its last lines may still be in the pipes at "exit"; only "close" guarantees that they have been read.
            this.child.once("close", (code, signal) => {
                this.areStreamsClosed = true;
                resolve({ code: code ?? undefined, signal: signal ?? undefined });
            });
        });
    }

    get pid(): number {
        return this.child.pid!;
    }

    get isRunning(): boolean {
        return this.isAlive;
    }

    /** Text written to standard output so far. */
    get stdout(): string {
        return this.stdoutText;
    }

    /** Text written to standard error so far, which is the program's log. */
    get stderr(): string {
        return this.stderrText;
    }

    /** Sends a signal, such as SIGTERM, SIGKILL, SIGSTOP or SIGCONT, if the program is still running. */
    signal(name: NodeJS.Signals): void {
        if (this.isAlive) this.child.kill(name);
    }

    /** Kills the program and waits for its exit. */
    async kill(): Promise<void> {
        this.signal("SIGKILL");
        await this.exited;
    }

    /** Stops the program with SIGTERM and waits for its exit; kills it after the limit. */
    async stop(limitMs = 10_000): Promise<ProgramExit> {
        this.signal("SIGTERM");
        const killTimer = setTimeout(() => this.signal("SIGKILL"), limitMs);
        const exit = await this.exited;
        clearTimeout(killTimer);
        return exit;
    }

    /**
     * Waits for a line of standard output that contains the text.
     *
     * @returns The first such line.
     * @throws Error when the program ends or the limit passes first.
     */
    async line(text: string, limitMs = 15_000): Promise<string> {
        const found = await waitFor(
            () => this.stdoutText.split("\n").find(line => line.includes(text)),
            limitMs,
            () => this.areStreamsClosed,
        );
        if (found === undefined) throw new Error(`no line with ${text}; its log:\n${this.stderrText.slice(-2_000)}`);
        return found;
    }
}

const POLL_INTERVAL_MS = 20;

/**
 * Polls until a value is available.
 *
 * @param poll - Returns the value, or undefined while there is none yet.
 * @param limitMs - Maximum time to poll, in milliseconds.
 * @param isPointless - Returns true when no value can come any more, which ends the polling.
 * @returns The value, or undefined when the limit has passed or polling became pointless.
 */
export async function waitFor<Value>(
    poll: () => Value | undefined | Promise<Value | undefined>,
    limitMs: number,
    isPointless: () => boolean = () => false,
): Promise<Value | undefined> {
    const deadline = performance.now() + limitMs;
    for (;;) {
        const value = await poll();
        if (value !== undefined) return value;
        if (performance.now() > deadline || isPointless()) return undefined;
        await new Promise(resolve => setTimeout(resolve, POLL_INTERVAL_MS));
    }
}
