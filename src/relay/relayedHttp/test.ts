import assert from "node:assert/strict";
import { afterEach, describe, it } from "node:test";
import { Either } from "purify-ts";
import { findHeader, HttpError, HttpHandler, HttpReply, PathLoss, readReplyText } from "../../ports/index.js";
import { PathError, UpstreamCall, UpstreamReply } from "../../upstream/index.js";
import { RelayTestFleet, RelayTestFleetOptions } from "../fixtures/index.js";

const LOSSES: readonly PathLoss[] = ["silent", "reset", "refuse"];
const LIMIT_MS = 20_000;
/** Maximum time that a lost path may cost a request, in milliseconds. */
const MAX_DELAY_MS = 120;

describe("RelayedHttp", () => {
    const state = { fleet: undefined as RelayTestFleet | undefined };
    const seen: { from: string; deadline: string | undefined; closedAt: number | undefined; }[] = [];

    /** An upstream that answers each request after some time. */
    function answerAfter(ms: number): HttpHandler {
        return async (req, res) => {
            const { clock } = state.fleet!;
            const request = {
                from: req.remote,
                deadline: findHeader(req.headers, "deadline"),
                closedAt: undefined as number | undefined,
            };
            seen.push(request);
            req.closed.addEventListener("abort", () => request.closedAt = clock.monotonic());
            await clock.sleep(ms, req.closed);
            res.head(200, [["x-upstream", "u0"], ["content-length", "6"]]);
            await res.write("ans");
            res.end("wer");
        };
    }

    async function start(options: Partial<RelayTestFleetOptions> = {}): Promise<RelayTestFleet> {
        seen.length = 0;
        const upstreams = [answerAfter(20), answerAfter(20), answerAfter(20)];
        state.fleet = await RelayTestFleet.start({ hosts: 4, upstreams, ...options });
        return state.fleet;
    }

    /** Sends a request from host 0, and advances time until its head is there or it has failed. */
    async function send(parts: Partial<UpstreamCall> = {}) {
        const fleet = state.fleet!;
        const startedAt = fleet.clock.monotonic();
        const sent = await fleet.clock.runUntil(fleet.accesses[0].http.send(fleet.call(parts)), LIMIT_MS);
        return { sent, tookMs: fleet.clock.monotonic() - startedAt };
    }

    function readText(sent: Either<HttpError, HttpReply>): Promise<string> {
        return state.fleet!.clock.runUntil(readReplyText(sent.unsafeCoerce()), LIMIT_MS);
    }

    function errorOf(sent: Either<HttpError, UpstreamReply>): HttpError {
        return sent.swap().unsafeCoerce();
    }

    afterEach(() => state.fleet?.close());

    it("sends directly while the path is open", async () => {
        await start();
        const { sent } = await send();
        assert.equal(sent.unsafeCoerce().relay, undefined);
        assert.equal(await readText(sent), "answer");
        assert.deepEqual(seen.map(({ from }) => from), ["10.0.1.1"]);
    });

    for (const loss of LOSSES) {
        it(`sends through another host, soon and once, where paths are lost like this: ${loss}`, async () => {
            const fleet = await start();
            fleet.losePaths(0, loss);
            const first = await send();
            assert.notEqual(first.sent.unsafeCoerce().relay, undefined);
            assert.equal(findHeader(first.sent.unsafeCoerce().headers, "x-upstream"), "u0");
            assert.equal(await readText(first.sent), "answer");
            assert.ok(first.tookMs <= MAX_DELAY_MS + 30, `${first.tookMs} ms`);
            const second = await send();
            assert.equal(await readText(second.sent), "answer");
            assert.ok(second.tookMs <= 40, `${second.tookMs} ms`);
            assert.equal(seen.length, 2);
        });
    }

    it("has another host's paths found out to be lost, too, and asks the next one", async () => {
        const fleet = await start({ hosts: 6 });
        for (const host of [0, 1, 2, 3]) fleet.losePaths(host, "silent");
        const { sent } = await send();
        assert.equal(await readText(sent), "answer");
        assert.ok(["10.0.1.5", "10.0.1.6"].includes(seen[0].from));
    });

    it("knows within a second that kept connections have fallen silent", async () => {
        // They do not fail when their path is lost: only what is awaited shows it.
        const fleet = await start({ upstreams: [answerAfter(20), answerAfter(20)] });
        const before = await send();
        await readText(before.sent);
        fleet.losePaths(0, "silent");
        const hung = fleet.accesses[0].http.send(fleet.call());
        await fleet.clock.advance(1_000);
        assert.equal(fleet.accesses[0].paths.lostCount, 2);
        const next = await send();
        assert.equal(await readText(next.sent), "answer");
        assert.ok(next.tookMs <= 40, `${next.tookMs} ms`);
        assert.equal(errorOf(await fleet.clock.runUntil(hung, LIMIT_MS)).mayHaveBeenSent, true);
    });

    it("does not take an upstream that is silent for more than a second for a lost path", async () => {
        const fleet = await start({ upstreams: [answerAfter(1_500), answerAfter(20)] });
        const { sent } = await send();
        assert.equal(sent.unsafeCoerce().relay, undefined);
        assert.equal(fleet.accesses[0].paths.lostCount, 0);
        const target = fleet.target();
        const failure = { sentAt: 0, connectionEnded: false };
        const cause = fleet.accesses[0].http.findFailureCause(target, failure);
        assert.equal(await fleet.clock.runUntil(cause, LIMIT_MS), "upstream");
    });

    it("fails at the usual time where no host reaches the upstream", async () => {
        // The upstream has gone dark or has crashed: relays can't help, and finding that out must not cost its callers time.
        const fleet = await start();
        for (const host of [0, 1, 2, 3]) fleet.losePaths(host, "silent", [0]);
        const dark = await send();
        assert.ok(dark.tookMs <= 252, `${dark.tookMs} ms`);
        assert.equal(errorOf(dark.sent) instanceof PathError, false);
        for (const host of [0, 1, 2, 3]) fleet.losePaths(host, "reset", [1]);
        const crashed = await send({ target: fleet.target(1) });
        assert.ok(crashed.tookMs <= 10, `${crashed.tookMs} ms`);
        assert.equal(errorOf(crashed.sent).mayHaveBeenSent, false);
        assert.equal(fleet.accesses[0].paths.lostCount, 0);
    });

    it("does not send a request again that a lost relay may have sent", async () => {
        const fleet = await start({ upstreams: [answerAfter(400)] });
        fleet.losePaths(0, "refuse");
        const sending = fleet.accesses[0].http.send(fleet.call());
        await fleet.clock.advance(100);
        const relay = Number(seen[0].from.split(".")[3]) - 1;
        fleet.crash(relay);
        const err = errorOf(await fleet.clock.runUntil(sending, LIMIT_MS));
        assert.equal(err.mayHaveBeenSent, true);
        assert.ok(err instanceof PathError, "the upstream must not be blamed");
        assert.equal(seen.length, 1);
    });

    it("asks another relay where one can't be reached", async () => {
        const fleet = await start();
        fleet.losePaths(0, "refuse");
        await readText((await send()).sent);
        const relay = Number(seen[0].from.split(".")[3]) - 1;
        fleet.crash(relay);
        const { sent } = await send({ newConnection: true });
        assert.equal(await readText(sent), "answer");
        assert.notEqual(seen[1].from, seen[0].from);
    });

    it("says that nothing was sent where no relay is left", async () => {
        const fleet = await start();
        fleet.losePaths(0, "refuse");
        await readText((await send()).sent);
        fleet.relaying = new Set();
        const { sent, tookMs } = await send();
        const err = errorOf(sent);
        assert.ok(err instanceof PathError);
        assert.equal(err.mayHaveBeenSent, false);
        assert.ok(tookMs <= 10);
        assert.equal(fleet.accesses[0].hasWay, false);
    });

    it("never sends through two relays", async () => {
        const fleet = await start({ hosts: 2 });
        fleet.losePaths(0, "refuse");
        fleet.losePaths(1, "refuse");
        const { sent } = await send();
        assert.equal(sent.isLeft(), true);
        assert.equal(seen.length, 0);
    });

    it("sends directly again once the path has proved itself", async () => {
        const fleet = await start();
        fleet.losePaths(0, "silent");
        await readText((await send()).sent);
        fleet.restorePaths(0);
        await fleet.clock.advance(3_000);
        assert.equal(fleet.accesses[0].paths.lostCount, 0);
        const { sent } = await send();
        assert.equal(sent.unsafeCoerce().relay, undefined);
    });

    it("states no more time to the upstream than is left", async () => {
        const fleet = await start();
        fleet.losePaths(0, "silent");
        const { sent } = await send({ headers: [["Deadline", "1000"]], deadlineHeader: "deadline" });
        await readText(sent);
        const stated = Number(seen[0].deadline);
        assert.ok(stated > 850 && stated <= 900, `${stated} ms`);
    });

    it("ends the upstream's work within half a second when its caller has gone", async () => {
        const fleet = await start({ upstreams: [answerAfter(5_000)] });
        fleet.losePaths(0, "refuse");
        const caller = new AbortController();
        const sending = fleet.accesses[0].http.send(fleet.call({ signal: caller.signal }));
        await fleet.clock.advance(1_000);
        const leftAt = fleet.clock.monotonic();
        caller.abort();
        const err = errorOf(await fleet.clock.runUntil(sending, LIMIT_MS));
        assert.equal(err.reason, "aborted");
        // A request that this host gives up because its upstream is silent still counts against that.
        assert.equal(err instanceof PathError, false);
        await fleet.clock.advance(500);
        assert.ok(seen[0].closedAt! - leftAt <= 500, `${seen[0].closedAt! - leftAt} ms`);
    });

    describe("findFailureCause", () => {
        it("is the path for a connection that was reset with the path, at once", async () => {
            const fleet = await start({ upstreams: [answerAfter(5_000), answerAfter(20)] });
            const sentAt = fleet.clock.monotonic();
            const sending = fleet.accesses[0].http.send(fleet.call());
            await fleet.clock.advance(100);
            fleet.losePaths(0, "reset");
            assert.equal(errorOf(await fleet.clock.runUntil(sending, LIMIT_MS)).reason, "closed");
            const cause = fleet.accesses[0].http.findFailureCause(fleet.target(), { sentAt, connectionEnded: true });
            assert.equal(await fleet.clock.runUntil(cause, LIMIT_MS), "path");
        });

        it("is the upstream, which has not ended, for a connection that it reset", async () => {
            const fleet = await start({ upstreams: [async (_, res) => res.reset()] });
            assert.equal(errorOf((await send()).sent).reason, "closed");
            const failure = { sentAt: 0, connectionEnded: true };
            const cause = fleet.accesses[0].http.findFailureCause(fleet.target(), failure);
            assert.equal(await fleet.clock.runUntil(cause, LIMIT_MS), "upstream");
        });

        it("is the end of the upstream where nobody listens at its address any more", async () => {
            const fleet = await start({ upstreams: [answerAfter(5_000)] });
            const sending = fleet.accesses[0].http.send(fleet.call());
            await fleet.clock.advance(100);
            fleet.crashUpstream(0);
            assert.equal(errorOf(await fleet.clock.runUntil(sending, LIMIT_MS)).reason, "closed");
            const failure = { sentAt: 0, connectionEnded: true };
            const cause = fleet.accesses[0].http.findFailureCause(fleet.target(), failure);
            assert.equal(await fleet.clock.runUntil(cause, LIMIT_MS), "upstream-ended");
        });
    });

    describe("probe", () => {
        function probe(): Promise<string> {
            const fleet = state.fleet!;
            return fleet.clock.runUntil(fleet.accesses[0].http.probe(fleet.target()), LIMIT_MS);
        }

        it("finds an upstream that listens", async () => {
            await start();
            assert.equal(await probe(), "open");
        });

        it("finds a crash only where other hosts are refused, too", async () => {
            // Otherwise refusals on a lost path would have requests quarantined.
            const fleet = await start();
            fleet.losePaths(0, "refuse");
            assert.equal(await probe(), "cut-off");
            for (const host of [1, 2, 3]) fleet.losePaths(host, "refuse");
            fleet.restorePaths(0);
            await fleet.clock.advance(3_000);
            fleet.losePaths(0, "refuse");
            assert.equal(await probe(), "crashed");
        });

        it("finds a crash on a lost path by what other hosts find", async () => {
            const fleet = await start();
            fleet.losePaths(0, "silent");
            assert.equal(await probe(), "cut-off");
            for (const host of [1, 2, 3]) fleet.losePaths(host, "refuse", [0]);
            assert.equal(await probe(), "crashed");
        });

        it("finds a crash alone where there are no other hosts", async () => {
            const fleet = await start({ hosts: 1 });
            fleet.losePaths(0, "refuse");
            assert.equal(await probe(), "crashed");
        });

        it("finds no crash where other hosts can't tell", async () => {
            const fleet = await start();
            fleet.losePaths(0, "refuse");
            for (const host of [1, 2, 3]) fleet.crash(host);
            assert.equal(await probe(), "unreachable");
        });

        it("finds an upstream that answers nobody unreachable", async () => {
            const fleet = await start();
            for (const host of [0, 1, 2, 3]) fleet.losePaths(host, "silent");
            assert.equal(await probe(), "unreachable");
        });
    });
});
