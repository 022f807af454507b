import { Clock } from "../../ports/index.js";
import { UsageBatchCommand } from "../../usage/index.js";
import { PeerRouter } from "../../wire/index.js";
import { ControlAccess } from "../controlAccess/index.js";

/** The methods by which an entry hands its batches to another entry to hold. */
export const USAGE_METHODS = { hold: "usage.hold", release: "usage.release" } as const;

/** Names the batches that need no holding any more. */
export interface UsageRelease {
    readonly host: string;
    readonly incarnation: string;
    readonly sequence: number;
}

interface HeldBatch {
    readonly batch: UsageBatchCommand;
    readonly heldAt: number;
}

/** A batch that nobody released for this long is handed in: its host has most likely ended. */
const HAND_IN_AFTER_MS = 5_000;
const LOOK_EVERY_MS = 1_000;
const COMMAND_TIMEOUT_MS = 2_000;

/**
 * Holds other entries' usage batches. Handing one in twice does no harm, so that an entry that is only cut off from
 * this one needs no care.
 *
 * @example
 * new UsageKeeper(clock, control).addTo(router);
 */
export class UsageKeeper {
    private readonly held = new Map<string, HeldBatch>();

    constructor(private readonly clock: Clock, private readonly control: ControlAccess) {}

    get size(): number {
        return this.held.size;
    }

    /** Answers the entries that hand over and release batches. */
    addTo(router: PeerRouter): void {
        router.add(USAGE_METHODS.hold, body => {
            const batch = body as UsageBatchCommand;
            this.held.set(nameBatch(batch), { batch, heldAt: this.clock.monotonic() });
            return true;
        });
        router.add(USAGE_METHODS.release, body => {
            this.held.delete(nameBatch(body as UsageRelease));
        });
    }

    /** Hands in what was not released, until the signal is aborted. */
    async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            await this.clock.sleepToTick(LOOK_EVERY_MS, signal);
            await this.handInOverdue();
        }
    }

    private async handInOverdue(): Promise<void> {
        const now = this.clock.monotonic();
        for (const [name, { batch, heldAt }] of this.held) {
            if (now - heldAt < HAND_IN_AFTER_MS) continue;
            const result = await this.control.command(batch, COMMAND_TIMEOUT_MS);
            if (result.isRight()) this.held.delete(name);
        }
    }
}

function nameBatch({ host, incarnation, sequence }: UsageRelease): string {
    return `${host} ${incarnation} ${sequence}`;
}
