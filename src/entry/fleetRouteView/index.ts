import { ControlClient, ViewCache } from "../../control/index.js";
import { Gate } from "../../lifecycle/index.js";
import { RouteView } from "../../passthrough/index.js";
import { Clock } from "../../ports/index.js";
import { RouteTable } from "../../routing/index.js";

/** The fleet document as the control processes give it. */
export class FleetRouteView extends RouteView {
    private readonly changed = new Gate();

    constructor(
        private readonly clock: Clock,
        private readonly client: ControlClient,
        private readonly cache: ViewCache,
    ) {
        super();
    }

    isFresh(): boolean {
        return this.client.isFresh();
    }

    routes(): RouteTable | undefined {
        return this.cache.routes;
    }

    async whenKnown(limitMs: number, signal: AbortSignal): Promise<void> {
        const until = this.clock.monotonic() + limitMs;
        while (!this.routes() && !signal.aborted) {
            const leftMs = until - this.clock.monotonic();
            if (leftMs <= 0) return;
            await this.changed.wait(this.clock, leftMs, signal);
        }
    }

    /** Told that the cache has taken a change. */
    noteChange(): void {
        this.changed.open();
    }

    entryCount(): number {
        return Math.max(1, this.client.entries.filter(({ ownsQueues }) => !ownsQueues).length);
    }
}
