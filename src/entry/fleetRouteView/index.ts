import { ControlClient, ViewCache } from "../../control/index.js";
import { RouteView } from "../../passthrough/index.js";
import { RouteTable } from "../../routing/index.js";

/** The fleet document as the control processes give it. */
export class FleetRouteView extends RouteView {
    constructor(private readonly client: ControlClient, private readonly cache: ViewCache) {
        super();
    }

    isFresh(): boolean {
        return this.client.isFresh();
    }

    routes(): RouteTable | undefined {
        return this.cache.routes;
    }

    entryCount(): number {
        return Math.max(1, this.client.entries.length);
    }
}
