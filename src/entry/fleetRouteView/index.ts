import { ControlClient, ViewCache } from "../../control/index.js";
import { WaitCondition } from "../../lifecycle/index.js";
import { RouteView } from "../../passthrough/index.js";
import { Clock } from "../../ports/index.js";
import { RouteTable } from "../../routing/index.js";

/** View of the fleet document that the control client keeps up to date. */
export class FleetRouteView extends RouteView {
    /** Notified at each change of the cache. */
    private readonly changeGate = new WaitCondition();

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

    async waitForRoutes(limitMs: number, signal: AbortSignal): Promise<void> {
        const deadline = this.clock.monotonic() + limitMs;
        while (!this.routes() && !signal.aborted) {
            const leftMs = deadline - this.clock.monotonic();
            if (leftMs <= 0) return;
            await this.changeGate.wait(this.clock, leftMs, signal);
        }
    }

    /** Called when the cache has applied a change. */
    notifyChange(): void {
        this.changeGate.notifyAll();
    }
}
