import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { ChangeId, WorkspaceId } from "../../ids/index.js";
import { FleetWorld } from "../world/index.js";

const CHAT_INTERVAL_MS = 10;

Given(
    "the limit of {string} is {int} tokens in a window",
    async function(this: FleetWorld, workspace: string, tokenLimit: number) {
        const id = workspace as WorkspaceId;
        const { registry } = this.fleet.controls[this.fleet.holder()]!.state;
        const base = registry.workspace(id)!.revision;
        const changeId = `limit-${workspace}` as ChangeId;
        await this.fleet.applyChange({ kind: "workspace.limit", id, tokenLimit, base, operator: "anna", changeId });
    },
);

Given("each engine refuses its next {int} requests", function(this: FleetWorld, count: number) {
    for (const engine of this.fleet.emulator.engines.values()) {
        for (let added = 0; added < count; added++) engine.faults.add({ kind: "refused", status: 503 });
    }
});

When(
    "{string} sends {int} chats of {int} tokens over all entries at once",
    async function(this: FleetWorld, workspace: string, count: number, tokens: number) {
        const { entries } = this.fleet.layout;
        for (let sent = 0; sent < count; sent++) {
            this.sendChat(workspace, tokens, 1 + sent % entries, { maxTokens: tokens });
            await this.fleet.advance(CHAT_INTERVAL_MS);
        }
        await this.chatResults();
    },
);

Then(
    "{string} was answered at most {int} tokens, and at least one chat was refused with {int} {string}",
    async function(this: FleetWorld, workspace: string, limit: number, status: number, errorType: string) {
        const results = await this.chatResults();
        const workspaceChats = this.chats.filter(chat => chat.workspace === workspace);
        const answered = workspaceChats.filter((_, index) => results[index].outcome === "answered");
        const tokens = answered.reduce((sum, chat) => sum + chat.tokens, 0);
        assert.ok(tokens > 0 && tokens <= limit, `${tokens} tokens`);
        assert.ok(results.some(result => result.status === status && result.errorType === errorType));
    },
);

Then("each refusal for the limit names the time until the next window", async function(this: FleetWorld) {
    for (const result of await this.chatResults()) {
        if (result.errorType !== "over-limit") continue;
        assert.ok(result.retryAfterMs! > 0 && result.retryAfterMs! <= this.fleet.layout.windowMs);
    }
});

Then("the engines got at most {int} requests", function(this: FleetWorld, limit: number) {
    const engines = this.fleet.emulator.stats().engines;
    const requests = engines.reduce((sum, engine) => sum + engine.requests, 0);
    assert.ok(requests <= limit, `${requests} requests`);
});
