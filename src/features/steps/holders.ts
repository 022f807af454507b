import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { FleetWorld } from "../world/index.js";
import { controlHost, EMULATOR_HOST } from "../world/memoryFleet.js";

interface HolderWorld extends FleetWorld {
    isolatedControl: number;
}

const MS_PER_SECOND = 1_000;
const REPORT_WAIT_MS = 20_000;

Given("a fleet whose platform {word} old fencing tokens", async function(this: FleetWorld, verb: string) {
    await this.startFleet({
        entries: 2,
        controls: 3,
        windowMs: 5_000,
        emulator: { engines: 3, services: 1, platformChecksFence: verb === "refuses" },
    });
});

When("chats keep coming for {int} seconds", async function(this: FleetWorld, seconds: number) {
    await this.sendChatsDuring(this.fleet.clock.sleep(seconds * MS_PER_SECOND));
});

When(
    "the holder is isolated for {int} seconds while chats keep coming",
    async function(this: FleetWorld, seconds: number) {
        const holder = this.fleet.holder();
        this.fleet.isolateControl(holder, true);
        await this.sendChatsDuring(this.fleet.clock.sleep(seconds * MS_PER_SECOND));
        this.fleet.isolateControl(holder, false);
    },
);

When("the holder is isolated as soon as it has connected to the platform", function(this: HolderWorld) {
    const { fleet } = this;
    this.isolatedControl = fleet.holder();
    fleet.fabric.onNextConnection(
        controlHost(this.isolatedControl),
        EMULATOR_HOST,
        () => fleet.isolateControl(this.isolatedControl, true),
    );
});

When("the isolated holder is joined again", function(this: HolderWorld) {
    this.fleet.isolateControl(this.isolatedControl, false);
});

When(
    "the holder's next {word} takes {int} ms while it is cut off from the other control processes",
    function(this: FleetWorld, _message: string, ms: number) {
        const { fleet } = this;
        const holder = controlHost(fleet.holder());
        const others = fleet.controlNumbers().map(controlHost);
        fleet.fabric.onNextConnection(holder, EMULATOR_HOST, () => {
            fleet.linkLatenciesMs.set(`${holder}>${EMULATOR_HOST}`, ms);
            fleet.fabric.isolate(holder, others, true);
        });
    },
);

When(
    "chats keep coming while each control process is killed and restarted in turn",
    async function(this: FleetWorld) {
        const restartAll = async (): Promise<void> => {
            for (const number of this.fleet.controlNumbers()) {
                await this.fleet.killControl(number);
                await this.fleet.clock.sleep(4_000);
                await this.fleet.startControl(number);
                await this.fleet.clock.sleep(4_000);
            }
        };
        await this.sendChatsDuring(restartAll());
    },
);

Then("no window was reported with two figures", function(this: FleetWorld) {
    const { conflicting, doubledWindows, reports } = this.fleet.emulator.platform.usage.stats();
    assert.ok(reports > 0);
    assert.deepEqual({ conflicting, doubledWindows }, { conflicting: 0, doubledWindows: 0 });
});

Then("no report came from an old holder after a new one's", function(this: FleetWorld) {
    assert.equal(this.fleet.emulator.platform.usage.stats().reversals, 0);
});

Then("the reports give each workspace what was answered", async function(this: FleetWorld) {
    const results = await this.chatResults();
    await this.fleet.advance(this.fleet.layout.windowMs + REPORT_WAIT_MS);
    const accepted = new Map(
        this.fleet.emulator.platform.usage.received
            .filter(({ isStale }) => !isStale)
            .map(({ report }) => [report.report_id, report]),
    );
    const lines = [...accepted.values()].flatMap(report => report.lines);
    for (const workspace of ["hotel", "depot"]) {
        const answered = this.chats.filter((chat, index) =>
            chat.workspace === workspace && results[index].outcome === "answered"
        );
        const workspaceLines = lines.filter(line => line.workspace === workspace);
        assert.deepEqual(
            {
                requests: workspaceLines.reduce((sum, line) => sum + line.requests, 0),
                tokens: workspaceLines.reduce((sum, line) => sum + line.completion_tokens, 0),
            },
            { requests: answered.length, tokens: answered.reduce((sum, chat) => sum + chat.tokens, 0) },
        );
    }
});
