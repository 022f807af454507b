import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { ChatRuns, EmulatedEngine } from "../../emulator/index.js";
import { FleetWorld } from "../world/index.js";

const SLOTS_PER_ENGINE = 16;

function listBusyEngines({ fleet }: FleetWorld, software: string): EmulatedEngine[] {
    return [...fleet.emulator.engines.values()].filter(engine =>
        engine.describe().software_version === software && engine.stats().running > 0
    );
}

function listRuns({ fleet }: FleetWorld): readonly ChatRuns[] {
    return fleet.emulator.chatLedger.list();
}

Given(
    "a fleet of {int} entries whose {int} engines run the software versions {string} in turn",
    async function(this: FleetWorld, entries: number, engines: number, versions: string) {
        const software = versions.split(", ");
        await this.startFleet({ entries, controls: 3, emulator: { engines, services: 0, software } });
    },
);

Given(
    "the engines are busy with chats of {string} of the class {string}",
    async function(this: FleetWorld, workspace: string, className: string) {
        const slots = this.fleet.emulator.engines.size * SLOTS_PER_ENGINE;
        for (let sent = 0; sent < slots; sent++) this.sendChat(workspace, 150, 1 + sent % 2, { className });
        await this.fleet.advance(1_000);
    },
);

When(
    "{int} chats of {string} of the class {string} are started over all entries",
    function(this: FleetWorld, count: number, workspace: string, className: string) {
        for (let sent = 0; sent < count; sent++) this.sendChat(workspace, 20, 1 + sent % 2, { className });
    },
);

When("an engine of each version crashes", async function(this: FleetWorld) {
    for (const software of ["1.0", "2.0"]) await this.settle(listBusyEngines(this, software)[0].crash());
});

When("all engines of the version that runs it crash", async function(this: FleetWorld) {
    const [running] = ["1.0", "2.0"].filter(software => listBusyEngines(this, software).length > 0);
    const engines = [...this.fleet.emulator.engines.values()];
    const lost = engines.filter(engine => engine.describe().software_version === running);
    await this.settle(Promise.all(lost.map(engine => engine.crash())));
});

Then("some chats have run at several engines", function(this: FleetWorld) {
    assert.ok(listRuns(this).some(({ runs }) => runs > 1));
});

Then("no chat has tokens of two software versions", function(this: FleetWorld) {
    assert.deepEqual(listRuns(this).filter(({ software }) => software.length > 1), []);
});

Then(
    "the last chat ends with an error and the outcome {string}",
    async function(this: FleetWorld, outcome: string) {
        const result = await this.settle(this.chats.at(-1)!.result);
        assert.equal(result.outcome, outcome);
    },
);
