import { Clock } from "../../ports/index.js";
import { AdmissionControl, makeRefusal } from "../admissionControl/index.js";
import { Refusal, Ticket } from "../ticket/index.js";
import { UpstreamPicker } from "../upstreamPicker/index.js";
import { WaitingTicket } from "../waitingTicket/index.js";

/** Options of `HeldTickets`. */
export interface HeldTicketsOptions {
    readonly clock: Clock;
    readonly picker: Pick<UpstreamPicker, "hasFreeFor" | "hasSoftwareFor" | "backOffLeftMs">;
    readonly admission: Pick<AdmissionControl, "checkDelay" | "mayUpstreamsBeUnknown">;
}

/** A held ticket that can wait no longer. */
export interface LateTicket {
    readonly waiting: WaitingTicket;
    readonly refusal: Refusal;
}

/** Retry delay where no upstream runs the software that began a stream, in milliseconds: one may be restarting. */
const RETRY_AFTER_NO_SOFTWARE_MS = 1_000;

/**
 * The waiting tickets of a pool that can't use the upstreams with a free slot: these asked the ticket's host to back off, or run other software
 * than the one that began the ticket's stream.
 *
 * They are not in the queue: each free slot would go to the first of them, which can't use it, and all others would wait
 * behind it.
 */
export class HeldTickets {
    private readonly tickets = new Set<WaitingTicket>();

    constructor(private readonly options: HeldTicketsOptions) {}

    has(waiting: WaitingTicket): boolean {
        return this.tickets.has(waiting);
    }

    /** Holds a ticket; returns a refusal instead where it can't wait until an upstream can run it. */
    hold(waiting: WaitingTicket): Refusal | undefined {
        const refusal = this.check(waiting, this.backOffLeftMs(waiting.ticket));
        if (!refusal) this.tickets.add(waiting);
        return refusal;
    }

    /** Removes a ticket; does nothing if it is not held. */
    remove(waiting: WaitingTicket): void {
        this.tickets.delete(waiting);
    }

    /** Whether an upstream that may run the ticket has a free slot. */
    hasFreeFor({ ticket }: WaitingTicket): boolean {
        return this.options.picker.hasFreeFor(ticket, this.options.clock.monotonic());
    }

    /**
     * Removes the tickets for which an upstream has a free slot now.
     *
     * @param enqueue - Called with each of them; may use the slot up.
     */
    release(enqueue: (waiting: WaitingTicket) => void): void {
        const withoutSlot = new Set<string>();
        for (const waiting of [...this.tickets]) {
            const needs = describeNeeds(waiting.ticket);
            if (!this.tickets.has(waiting) || withoutSlot.has(needs)) continue;
            if (!this.hasFreeFor(waiting)) {
                withoutSlot.add(needs);
                continue;
            }
            this.tickets.delete(waiting);
            enqueue(waiting);
        }
    }

    /** Returns the tickets that can wait no longer. */
    listLate(): LateTicket[] {
        const leftMsByNeeds = new Map<string, number>();
        return [...this.tickets].flatMap(waiting => {
            const needs = describeNeeds(waiting.ticket);
            const leftMs = leftMsByNeeds.get(needs) ?? this.backOffLeftMs(waiting.ticket);
            leftMsByNeeds.set(needs, leftMs);
            const refusal = this.check(waiting, leftMs);
            return refusal ? [{ waiting, refusal }] : [];
        });
    }

    private backOffLeftMs(ticket: Ticket): number {
        return this.options.picker.backOffLeftMs(ticket, this.options.clock.monotonic());
    }

    private check(waiting: WaitingTicket, leftMs: number): Refusal | undefined {
        const { picker, admission } = this.options;
        if (!picker.hasSoftwareFor(waiting.ticket) && !admission.mayUpstreamsBeUnknown()) {
            const detail = `no upstream runs ${waiting.ticket.software}, which began the stream`;
            return makeRefusal(waiting, "no-upstream", RETRY_AFTER_NO_SOFTWARE_MS, detail);
        }
        const detail = leftMs === 0
            ? "no upstream that may run this request became free"
            : `all upstreams asked this host to back off, the first for ${Math.round(leftMs)} ms more`;
        return admission.checkDelay(waiting, leftMs, detail);
    }
}

/** Returns a key that is equal for tickets that the same upstreams may run. */
function describeNeeds({ origin, software }: Ticket): string {
    return `${origin} ${software ?? ""}`;
}
