import { When } from "@cucumber/cucumber";
import { FleetWorld } from "../world/index.js";
import { controlHost, entryHost } from "../world/memoryFleet.js";

function listHosts(world: FleetWorld, group: string): string[] {
    if (group === "control") return world.fleet.controlNumbers().map(controlHost);
    return world.fleet.entryNumbers().map(entryHost);
}

When("all open connections between {word} and {word} are forgotten", function(this: FleetWorld, a: string, b: string) {
    this.fleet.blackholeConnections(listHosts(this, a), listHosts(this, b));
});
