import { Clock } from "../../ports/index.js";
import { RequestResult } from "../outcome/index.js";

/** Takes the text that goes to the terminal. */
export type LineWriter = (text: string) => void;

const LEAST_PAUSE_MS = 200;

/** A line that shows how far a replay has come. */
export class Progress {
    private ended = 0;
    private bad = 0;
    private lastAt = Number.NEGATIVE_INFINITY;

    /**
     * @param clock - So that the line is not written too often.
     * @param total - How many requests there are.
     * @param write - Where the line goes.
     */
    constructor(private readonly clock: Clock, private readonly total: number, private readonly write: LineWriter) {}

    /** Counts a request that has its last word. */
    note({ verdict }: RequestResult): void {
        this.ended++;
        if (verdict === "lost" || verdict === "doubled") this.bad++;
        const now = this.clock.monotonic();
        if (now - this.lastAt < LEAST_PAUSE_MS) return;
        this.lastAt = now;
        this.show();
    }

    /** Shows the last state and ends the line. */
    end(): void {
        this.show();
        this.write("\n");
    }

    private show(): void {
        this.write(`\r${this.ended}/${this.total} requests ended, ${this.bad} lost or doubled`);
    }
}
