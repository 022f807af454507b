import { createHash } from "node:crypto";

/** Runs of one call of a plain service. */
export interface CallRuns {
    /** Pool name of the service. */
    readonly service: string;
    /** Digest of the call's body, from `digestBody`. */
    readonly digest: string;
    readonly runs: number;
}

/** Counts runs of plain-service calls by the digest of their body. Shared by all instances of a service. */
export class RunLedger {
    private readonly runCounts = new Map<string, number>();

    /**
     * Records one run.
     *
     * @param service - Pool name of the service.
     * @param digest - Digest of the call's body, from `digestBody`.
     * @returns Number of runs of this call so far, this one included.
     */
    record(service: string, digest: string): number {
        const key = `${service} ${digest}`;
        const count = (this.runCounts.get(key) ?? 0) + 1;
        this.runCounts.set(key, count);
        return count;
    }

    /** Number of different calls that ran. */
    get distinctCallCount(): number {
        return this.runCounts.size;
    }

    /** Whether a call has run. */
    has(service: string, digest: string): boolean {
        return this.runCounts.has(`${service} ${digest}`);
    }

    /** Returns the runs of all calls. */
    list(): CallRuns[] {
        return [...this.runCounts].map(([name, runs]) => {
            const [service, digest] = name.split(" ");
            return { service, digest, runs };
        });
    }

    /** Returns the calls that ran more than once, as `service digest`. */
    doubled(): string[] {
        return [...this.runCounts].filter(([, count]) => count > 1).map(([name]) => name);
    }
}

/**
 * Computes the SHA-256 of a call's body, in hex.
 *
 * @example
 * digestBody(Buffer.from("{}"));
 */
export function digestBody(body: Uint8Array): string {
    return createHash("sha256").update(body).digest("hex");
}
