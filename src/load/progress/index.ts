import { Clock } from "../../ports/index.js";
import { RequestResult } from "../requestResult/index.js";

/** Writes text to the terminal. */
export type LineWriter = (text: string) => void;

const MIN_WRITE_INTERVAL_MS = 200;

/** Progress line of a replay, rewritten in place. */
export class Progress {
    private ended = 0;
    private lostOrDoubled = 0;
    private lastWriteAt = Number.NEGATIVE_INFINITY;

    /**
     * @param clock - Clock that limits how often the line is written.
     * @param total - Number of requests of the replay.
     * @param write - Writes the line.
     */
    constructor(private readonly clock: Clock, private readonly total: number, private readonly write: LineWriter) {}

    /** Counts a request that has ended. */
    record({ verdict }: RequestResult): void {
        this.ended++;
        if (verdict === "lost" || verdict === "doubled") this.lostOrDoubled++;
        const now = this.clock.monotonic();
        if (now - this.lastWriteAt < MIN_WRITE_INTERVAL_MS) return;
        this.lastWriteAt = now;
        this.writeLine();
    }

    /** Writes the final state and a line break. */
    end(): void {
        this.writeLine();
        this.write("\n");
    }

    private writeLine(): void {
        this.write(`\r${this.ended}/${this.total} requests ended, ${this.lostOrDoubled} lost or doubled`);
    }
}
