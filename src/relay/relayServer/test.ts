import assert from "node:assert/strict";
import { afterEach, describe, it } from "node:test";
import { AnswerSignals, SendBlock, SendGuard } from "../../dispatch/index.js";
import { SoftwareVersion } from "../../ids/index.js";
import { HttpCall, HttpHandler, readReplyText } from "../../ports/index.js";
import { GrantedUpstream, NO_SIGNALS } from "../../upstream/index.js";
import { RelayTestFleet, RelayTestFleetOptions } from "../fixtures/index.js";
import { decodeRelayMessage, encodeRelayMessage, FRAME_KINDS, readRelayFrames } from "../relayFrame/index.js";
import { RELAY_PATH, RelayAnswer, RelayRequest, RelayTarget } from "../relayMessage/index.js";

const LIMIT_MS = 20_000;

/** A guard that blocks what a test says, and records the answers of upstreams. */
class TestGuard extends SendGuard {
    readonly answers: AnswerSignals[] = [];
    block: SendBlock | undefined;
    /** The software that the last request had to be run by. */
    required: SoftwareVersion | undefined;

    recordAnswer(answer: AnswerSignals): void {
        this.answers.push(answer);
    }

    findBlock(_grant: GrantedUpstream, software?: SoftwareVersion): SendBlock | undefined {
        this.required = software;
        return this.block;
    }
}

describe("RelayServer", () => {
    const state = { fleet: undefined as RelayTestFleet | undefined };
    const guard = new TestGuard();
    const paths: string[] = [];
    /** Lets an upstream's answers go on. */
    const gate = { open: (): void => undefined, opened: Promise.resolve() };

    const answer: HttpHandler = async (req, res) => {
        paths.push(req.path);
        if (req.path === "/held") await gate.opened;
        res.head(200, []);
        res.end("done");
    };

    async function start(options: Partial<RelayTestFleetOptions> = {}): Promise<RelayTestFleet> {
        paths.length = 0;
        guard.answers.length = 0;
        guard.block = undefined;
        gate.opened = new Promise(resolve => gate.open = resolve);
        state.fleet = await RelayTestFleet.start({ hosts: 2, upstreams: [answer], guardOf: () => guard, ...options });
        return state.fleet;
    }

    function makeCall(fleet: RelayTestFleet, target: Partial<RelayTarget> = {}, path = "/orders/1"): HttpCall {
        const request: RelayRequest = {
            kind: "call",
            origin: "host-0",
            target: { pool: "draft", upstream: "u0", incarnation: 1, address: "10.0.9.1:9000", ...target },
            method: "GET",
            path,
            headers: [],
            hasBody: false,
            newConnection: false,
            recentlyUsedOnly: false,
            headTimeoutMs: 5_000,
        };
        return {
            address: fleet.relayAddress(1),
            method: "POST",
            path: RELAY_PATH,
            headers: [],
            body: encodeRelayMessage(FRAME_KINDS.message, request),
            newConnection: true,
            connectTimeoutMs: 1_000,
            headTimeoutMs: 5_000,
        };
    }

    /** Asks host 1 to relay a request; returns the first frame of its answer, or the status of one without frames. */
    async function ask(call: HttpCall, from = "10.0.1.1"): Promise<RelayAnswer | number> {
        const { clock, web } = state.fleet!;
        const reply = (await clock.runUntil(web.http(from).send(call), LIMIT_MS)).unsafeCoerce();
        if (reply.status !== 200) return reply.status;
        const first = await clock.runUntil(readRelayFrames(reply.body)[Symbol.asyncIterator]().next(), LIMIT_MS);
        return decodeRelayMessage(first.value) as RelayAnswer;
    }

    function reasonOf(answered: RelayAnswer | number): string | number {
        if (typeof answered === "number") return answered;
        return answered.kind === "not-sent" ? answered.reason : answered.kind;
    }

    afterEach(() => state.fleet?.close());

    it("sends for hosts of the fleet only", async () => {
        const fleet = await start();
        assert.equal(await ask(makeCall(fleet), "10.0.8.1"), 403);
        assert.deepEqual(paths, []);
    });

    it("sends to registered upstreams only, in the run and at the address that are registered", async () => {
        // Otherwise it would be an open proxy within the network.
        const fleet = await start();
        const wrong: readonly Partial<RelayTarget>[] = [
            { upstream: "u7" },
            { incarnation: 2 },
            { address: "10.0.9.1:22" },
            { address: "10.0.0.1:7001" },
            { pool: "ledger" },
        ];
        for (const target of wrong) assert.equal(reasonOf(await ask(makeCall(fleet, target))), "unknown-upstream");
        assert.deepEqual(paths, []);
        assert.equal(reasonOf(await ask(makeCall(fleet))), "reply");
    });

    it("sends nothing to an upstream that asked this host to back off, and says for how long", async () => {
        const fleet = await start();
        guard.block = { reason: "backing-off", leftMs: 700 };
        const answered = await ask(makeCall(fleet));
        assert.deepEqual(answered, { kind: "not-sent", reason: "blocked", detail: "backing-off", leftMs: 700 });
        assert.deepEqual(paths, []);
    });

    it("asks its own guard whether the upstream runs the software that must continue a stream", async () => {
        // The host that asks may not have heard that the upstream came back with other software.
        const fleet = await start();
        guard.block = { reason: "other-software" };
        const answered = await ask(makeCall(fleet, { software: "1.0" }));
        assert.deepEqual([reasonOf(answered), guard.required], ["blocked", "1.0"]);
        assert.deepEqual(paths, []);
    });

    it("tells its own guard what an upstream's answer states", async () => {
        const fleet = await start({ signals: { ...NO_SIGNALS, backOffMs: 3_000 } });
        await ask(makeCall(fleet));
        assert.deepEqual(guard.answers.map(({ upstream, signals }) => [upstream, signals.backOffMs]), [["u0", 3_000]]);
    });

    it("sends nothing while it has lost its own path", async () => {
        const fleet = await start({ hosts: 3 });
        fleet.losePaths(1, "refuse");
        await fleet.clock.runUntil(fleet.accesses[1].http.probe(fleet.target()), LIMIT_MS);
        assert.equal(reasonOf(await ask(makeCall(fleet))), "cut-off");
    });

    it("says that nothing was sent where it can't connect", async () => {
        const fleet = await start();
        fleet.losePaths(1, "silent");
        assert.equal(reasonOf(await ask(makeCall(fleet))), "unreachable");
    });

    it("refuses further requests once it carries as many as it may", async () => {
        const fleet = await start();
        const { clock, web } = fleet;
        const held = Array.from({ length: 256 }, () => web.http("10.0.1.1").send(makeCall(fleet, {}, "/held")));
        await clock.advance(10);
        assert.equal(reasonOf(await ask(makeCall(fleet))), "full");
        gate.open();
        const replies = await clock.runUntil(Promise.all(held), LIMIT_MS);
        await clock.runUntil(Promise.all(replies.map(reply => readReplyText(reply.unsafeCoerce()))), LIMIT_MS);
        assert.equal(reasonOf(await ask(makeCall(fleet))), "reply");
    });

    it("takes nothing new during a planned stop, and ends what it has", async () => {
        const fleet = await start();
        const { clock, web } = fleet;
        const { relays } = fleet.accesses[1];
        const held = web.http("10.0.1.1").send(makeCall(fleet, {}, "/held"));
        await clock.advance(10);
        relays.drain();
        assert.equal(reasonOf(await ask(makeCall(fleet))), "draining");
        const idle = relays.whenIdle(new AbortController().signal);
        gate.open();
        const reply = (await clock.runUntil(held, LIMIT_MS)).unsafeCoerce();
        assert.match(await clock.runUntil(readReplyText(reply), LIMIT_MS), /done/);
        await clock.runUntil(idle, LIMIT_MS);
        assert.equal(relays.size, 0);
    });
});
