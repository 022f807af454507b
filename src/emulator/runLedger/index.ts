import { createHash } from "node:crypto";

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
