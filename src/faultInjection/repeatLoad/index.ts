import { CallFault } from "../../emulator/index.js";
import { SeededRandom } from "../../ports/index.js";
import { findWorstRepeats, RepeatWindow } from "../checkRepeats/index.js";
import { RoutedFleet } from "../routedFleet/index.js";
import { TestReply } from "../testCaller/index.js";

const KEY = "butcher-key";
/** More faults than calls that reach one upstream while it has them. */
const FAULTS_AT_ONCE = 5_000;

/** Options of a `RepeatLoad`. */
export interface RepeatLoadOptions {
    readonly fleet: RoutedFleet;
    readonly random: SeededRandom;
    readonly callsPerS: number;
}

/** A part of a `RepeatLoad` that differs from the rest. */
export interface LoadPart {
    /** As many times the usual number of calls. */
    readonly factor?: number;
    /** Whether an entry that runs gets calls; all do by default. */
    readonly isChosen?: (entry: number) => boolean;
}

/**
 * Calls that are sent to a fleet at random intervals, and what their retries amount to at the upstreams.
 *
 * @example
 * const load = new RepeatLoad({ fleet, random, callsPerS: 12 });
 * await load.sendFor(10_000);
 * const { repeats, allowed } = load.findWorst();
 */
export class RepeatLoad {
    readonly replies: Promise<TestReply>[] = [];

    constructor(private readonly options: RepeatLoadOptions) {}

    /**
     * Sends calls for a time.
     *
     * @param ms - In milliseconds.
     */
    async sendFor(ms: number, { factor = 1, isChosen = () => true }: LoadPart = {}): Promise<void> {
        const { fleet, random } = this.options;
        const callsPerS = factor * this.options.callsPerS;
        const end = fleet.clock.monotonic() + ms;
        while (fleet.clock.monotonic() < end) {
            const entries = [...fleet.entries.keys()].filter(number => fleet.entries[number] && isChosen(number));
            if (entries.length > 0) this.send(random.pick(entries));
            await fleet.advance(random.between(0, 2_000 / callsPerS));
        }
    }

    /** Sends a number of calls to the first entry, without advancing time. */
    sendAtOnce(count: number): void {
        for (let call = 0; call < count; call++) this.send(0);
    }

    /** Lets all upstreams, or those named, fail what reaches them from now on; undefined: they work again. */
    setFault(
        fault: CallFault | undefined,
        upstreams: readonly number[] = [...this.options.fleet.upstreams.keys()],
    ): void {
        for (const number of upstreams) {
            const { faults } = this.options.fleet.upstreams[number];
            faults.length = 0;
            if (fault) faults.push(...Array<CallFault>(FAULTS_AT_ONCE).fill(fault));
        }
    }

    /** Returns the window in which retries came closest to their limit. */
    findWorst(): RepeatWindow {
        const { upstreams, callTimes, layout } = this.options.fleet;
        return findWorstRepeats(upstreams.flatMap(({ arrivals }) => arrivals), callTimes, layout.repeats);
    }

    private send(entry: number): void {
        const { fleet } = this.options;
        const request = `call-${this.replies.length}`;
        this.replies.push(fleet.startCall({ entry, path: "/orders/1", key: KEY, request }));
    }
}
