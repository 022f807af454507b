/** Number of latest calls per route that an estimate is made of. */
const SAMPLES_PER_ROUTE = 64;
/** Number of calls of a route below which there is no estimate. */
const MIN_SAMPLES = 8;
const MAX_ROUTES = 1_000;
/** Share of the latest calls of a route that ended within its usual duration. */
const USUAL_SHARE = 0.9;

/**
 * How long the calls of each route last on this host, by the latest ones that were answered. Bounded: the routes whose calls ended
 * longest ago are forgotten.
 *
 * @example
 * durations.record("orders", 120);
 * const mayBeCut = (durations.usualMs("orders") ?? 0) > leftMs;
 */
export class CallDurations {
    /** Latest durations by route, in milliseconds; the route with the latest call is the last one. */
    private readonly samples = new Map<string, number[]>();

    /** Number of routes that are remembered. */
    get size(): number {
        return this.samples.size;
    }

    /** Records an answered call. */
    record(route: string, ms: number): void {
        const latest = this.samples.get(route) ?? [];
        latest.push(ms);
        if (latest.length > SAMPLES_PER_ROUTE) latest.shift();
        this.samples.delete(route);
        this.samples.set(route, latest);
        if (this.samples.size > MAX_ROUTES) this.samples.delete(this.samples.keys().next().value!);
    }

    /** Returns the time within which nearly all calls of a route end, in milliseconds; undefined while too few have ended. */
    usualMs(route: string): number | undefined {
        const latest = this.samples.get(route);
        if (!latest || latest.length < MIN_SAMPLES) return undefined;
        const ascending = [...latest].sort((a, b) => a - b);
        return ascending[Math.ceil(USUAL_SHARE * ascending.length) - 1];
    }
}
