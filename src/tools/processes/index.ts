import { ChildProcess, spawn } from "node:child_process";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";

const DIST = join(dirname(fileURLToPath(import.meta.url)), "..", "..");

/** Programs that run. They end with the launcher, however it ends: a launcher that crashed would leave a fleet behind. */
const running = new Set<ChildProcess>();
process.once("exit", () => {
    for (const child of running) child.kill("SIGKILL");
});

/** How a program ended. */
export interface ProgramExit {
    readonly code: number | undefined;
    readonly signal: string | undefined;
}

/**
 * One of the project's programs, running as a process of its own.
 *
 * @example
 * const daemon = new Program("daemon/main.js", ["--settings", "entry.ini"]);
 */
export class Program {
    readonly exited: Promise<ProgramExit>;
    private readonly child: ChildProcess;
    private output = "";
    private errors = "";
    private running = true;
    private closed = false;

    /**
     * @param script - Its path below the build's folder.
     * @param args - Its arguments.
     */
    constructor(script: string, args: readonly string[]) {
        this.child = spawn(process.execPath, [join(DIST, script), ...args], { stdio: ["ignore", "pipe", "pipe"] });
        running.add(this.child);
        this.child.once("exit", () => running.delete(this.child));
        this.child.stdout!.on("data", chunk => this.output += chunk);
        this.child.stderr!.on("data", chunk => this.errors += chunk);
        this.exited = new Promise(resolve => {
            this.child.once("exit", () => this.running = false);
            // Only "close" says that its last lines have been read: after "exit" they may still be in the pipes.
            this.child.once("close", (code, signal) => {
                this.closed = true;
                resolve({ code: code ?? undefined, signal: signal ?? undefined });
            });
        });
    }

    get pid(): number {
        return this.child.pid!;
    }

    get isRunning(): boolean {
        return this.running;
    }

    /** What it wrote to standard output so far. */
    get stdout(): string {
        return this.output;
    }

    /** What it wrote to standard error so far: its log. */
    get stderr(): string {
        return this.errors;
    }

    /** Sends it a signal, such as SIGTERM, SIGKILL, SIGSTOP or SIGCONT. */
    signal(name: NodeJS.Signals): void {
        if (this.running) this.child.kill(name);
    }

    /** Ends it at once and waits for that. */
    async kill(): Promise<void> {
        this.signal("SIGKILL");
        await this.exited;
    }

    /** Ends it in good order and waits for that; kills it when it takes longer than the limit. */
    async stop(limitMs = 10_000): Promise<ProgramExit> {
        this.signal("SIGTERM");
        const limit = setTimeout(() => this.signal("SIGKILL"), limitMs);
        const exit = await this.exited;
        clearTimeout(limit);
        return exit;
    }

    /** Settles with the first line of standard output that holds the text. */
    async line(text: string, limitMs = 15_000): Promise<string> {
        const found = await waitFor(
            () => this.output.split("\n").find(line => line.includes(text)),
            limitMs,
            () => this.closed,
        );
        if (found === undefined) throw new Error(`no line with ${text}; its log:\n${this.errors.slice(-2_000)}`);
        return found;
    }
}

const POLL_MS = 20;

/**
 * Looks again and again until there is a value.
 *
 * @param look - Gives the value, or undefined for not yet.
 * @param limitMs - The longest to look, in milliseconds.
 * @param hopeless - True when looking longer is no use.
 * @returns The value, or undefined when the limit has passed.
 */
export async function waitFor<Value>(
    look: () => Value | undefined | Promise<Value | undefined>,
    limitMs: number,
    hopeless: () => boolean = () => false,
): Promise<Value | undefined> {
    const end = performance.now() + limitMs;
    for (;;) {
        const value = await look();
        if (value !== undefined) return value;
        if (performance.now() > end || hopeless()) return undefined;
        await new Promise(resolve => setTimeout(resolve, POLL_MS));
    }
}
