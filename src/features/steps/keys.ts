import { Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { ChangeId, KeyId } from "../../ids/index.js";
import { HttpCall, readReplyText } from "../../ports/index.js";
import { CALLER_PATHS, IDEMPOTENCY_HEADER } from "../../protocol/index.js";
import { keyOf } from "../world/deployment.js";
import { FleetWorld } from "../world/index.js";
import { CALLER_HOST } from "../world/memoryFleet.js";

interface KeyWorld extends FleetWorld {
    reply: { readonly status: number; readonly errorType: string; };
}

When("the key of {string} is withdrawn", async function(this: FleetWorld, workspace: string) {
    const startedAt = this.fleet.clock.monotonic();
    await this.fleet.applyChange({
        kind: "key.withdraw",
        keyId: `${workspace}-key` as KeyId,
        operator: "anna",
        changeId: `withdraw-${workspace}` as ChangeId,
    });
    this.inForceMs = this.fleet.clock.monotonic() - startedAt;
});

Then("the change is in force within {int} ms", function(this: FleetWorld, limitMs: number) {
    assert.ok(this.inForceMs <= limitMs, `${this.inForceMs} ms`);
});

When("entry {int} is cut off from the control processes", function(this: FleetWorld, entry: number) {
    this.fleet.cutEntryFromControl(entry - 1, true);
});

/** Builds a request that carries the key in a forbidden place, in addition to the authorization header. */
function makeMisplacedKeyRequest(key: string, place: string): Pick<HttpCall, "path" | "body"> {
    const chat = (content: string): Uint8Array =>
        Buffer.from(JSON.stringify({ model: "draft", messages: [{ role: "user", content }] }));
    const percentEncoded = [...key].map(letter => `%${letter.charCodeAt(0).toString(16)}`).join("");
    const jsonEscaped = [...key].map(letter => `\\u00${letter.charCodeAt(0).toString(16)}`).join("");
    const service = `${CALLER_PATHS.services}orders/book`;
    const places: Record<string, Pick<HttpCall, "path" | "body">> = {
        "query": { path: `${CALLER_PATHS.chat}?key=${key}`, body: chat("hello") },
        "percent-coded url": { path: `${CALLER_PATHS.chat}?key=${percentEncoded}`, body: chat("hello") },
        "message": { path: CALLER_PATHS.chat, body: chat(`my key is ${key}`) },
        "service body": { path: service, body: Buffer.from(`key=${key}`) },
        "escaped json": { path: service, body: Buffer.from(`{"key":"${jsonEscaped}"}`) },
    };
    return places[place];
}

When(
    "{string} sends a request with its key in the {}",
    async function(this: KeyWorld, workspace: string, place: string) {
        const key = keyOf(workspace);
        const sent = await this.settle(
            this.fleet.web.http(CALLER_HOST).send({
                address: this.fleet.entryAddress(0),
                method: "POST",
                headers: [["authorization", `Bearer ${key}`], [IDEMPOTENCY_HEADER, "misplaced"]],
                newConnection: true,
                connectTimeoutMs: 1_000,
                headTimeoutMs: 60_000,
                ...makeMisplacedKeyRequest(key, place),
            }),
        );
        const reply = sent.unsafeCoerce();
        const text = await this.settle(readReplyText(reply)) as string;
        this.reply = { status: reply.status, errorType: JSON.parse(text).error?.type };
    },
);

Then("it is refused with {int} {string}", function(this: KeyWorld, status: number, errorType: string) {
    assert.deepEqual(this.reply, { status, errorType });
});
