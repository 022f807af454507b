import { createHash } from "node:crypto";

/** A call of a plain service, and how often it ran. */
export interface CallRuns {
    readonly service: string;
    /** From `digestBody`. */
    readonly digest: string;
    readonly runs: number;
}

/** Runs of plain-service calls, counted by what was sent: shared by all instances of a service. */
export class RunLedger {
    private readonly runs = new Map<string, number>();

    /**
     * Notes one run.
     *
     * @param service - The pool's name.
     * @param digest - From `digestBody`.
     * @returns How often this call has run, this time included.
     */
    record(service: string, digest: string): number {
        const name = `${service} ${digest}`;
        const count = (this.runs.get(name) ?? 0) + 1;
        this.runs.set(name, count);
        return count;
    }

    /** How many different calls ran. */
    get distinct(): number {
        return this.runs.size;
    }

    /** Whether a call has run. */
    has(service: string, digest: string): boolean {
        return this.runs.has(`${service} ${digest}`);
    }

    /** All calls that ran. */
    list(): CallRuns[] {
        return [...this.runs].map(([name, runs]) => {
            const [service, digest] = name.split(" ");
            return { service, digest, runs };
        });
    }

    /** The calls that ran more than once, as `service digest`. */
    doubled(): string[] {
        return [...this.runs].filter(([, count]) => count > 1).map(([name]) => name);
    }
}

/**
 * The SHA-256 of a call's body, in hex.
 *
 * @example
 * digestBody(Buffer.from("{}"));
 */
export function digestBody(body: Uint8Array): string {
    return createHash("sha256").update(body).digest("hex");
}
