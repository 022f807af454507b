import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { EventSequence } from "../../eventStream/index.js";
import { UpstreamId, WorkspaceId } from "../../ids/index.js";
import { CallError } from "../../passthrough/index.js";
import { HeaderList, HttpReply, HttpRequest } from "../../ports/index.js";
import { PlatformDialect } from "./index.js";

const dialect = new PlatformDialect();

function makeRequest(headers: HeaderList): HttpRequest {
    return { headers } as HttpRequest;
}

function makeReply(status: number, headers: HeaderList): HttpReply {
    return { status, headers } as HttpReply;
}

const ATTEMPT_HEADER = ["sequoiamux-attempt-id", "9c41"] as const;
const SEND_MARKS = {
    upstream: "i-1" as UpstreamId,
    workspace: "hule930" as WorkspaceId,
    deadlineMs: 900,
    priority: 2,
    lastEventId: undefined,
    fetchFrom: undefined,
};

describe("PlatformDialect", () => {
    describe("a caller's head", () => {
        it("is parsed from the platform's headers", () => {
            const head = dialect.readHead(makeRequest([
                ATTEMPT_HEADER,
                ["authorization", "Token secret-key"],
                ["sequoiamux-model", "m"],
                ["sequoiamux-token-usage", "1460,80"],
                ["sequoiamux-prefix-hash", "5c1e:800,bad,91bd:410"],
                ["sequoiamux-deadline-ms", "8000"],
            ])).unsafeCoerce();
            assert.equal(head.key, "secret-key");
            assert.deepEqual([head.promptTokens, head.maxTokens, head.deadlineMs], [1460, 80, 8000]);
            assert.deepEqual(head.parts, [{ id: "5c1e", tokens: 800 }, { id: "91bd", tokens: 410 }]);
        });

        it("needs exactly one attempt id", () => {
            for (const headers of [[], [ATTEMPT_HEADER, ATTEMPT_HEADER]]) {
                assert.equal(dialect.readHead(makeRequest(headers)).swap().unsafeCoerce().kind, "malformed");
            }
        });

        it("has its key in UTF-8, or in Latin-1 where it is not UTF-8", () => {
            // Failure: a key beyond ASCII is acknowledged, and requests with it get 401.
            const keyOf = (value: string): string | undefined =>
                dialect.readHead(makeRequest([ATTEMPT_HEADER, ["authorization", `Token ${value}`]])).unsafeCoerce().key;
            assert.equal(keyOf(Buffer.from("ключ").toString("latin1")), "ключ");
            assert.equal(keyOf(Buffer.from("clé").toString("latin1")), "clé");
            assert.equal(keyOf("cl\xe9"), "clé");
            assert.equal(keyOf("two words"), "two words");
        });

        it("is forwarded without the key in any encoding", () => {
            // Failure: a key that is compared in one encoding reaches an engine in the other.
            const sent = Buffer.from("clé").toString("latin1");
            const copies: HeaderList = [["x-a", `a ${sent}`], ["x-b", "cl\xe9"], ["x-own", "kept"]];
            for (const key of [sent, "cl\xe9"]) {
                const head = dialect.readHead(
                    makeRequest([ATTEMPT_HEADER, ["authorization", `Token ${key}`], ...copies]),
                );
                assert.deepEqual(head.unsafeCoerce().headers, [ATTEMPT_HEADER, ["x-own", "kept"]]);
            }
        });

        it("is forwarded without the key and the reserved headers", () => {
            // A caller sends another workspace, an engine's memory and a lease, and repeats its key in a header of its own.
            // Without the filter, an engine would accept these as set by the system, or receive the key.
            const head = dialect.readHead(makeRequest([
                ATTEMPT_HEADER,
                ["authorization", "Token secret-key"],
                ["sequoiamux-tenant", "other"],
                ["sequoiamux-hold", "1"],
                ["kv-from", "10.0.0.1:1/x"],
                ["x-copy", "a secret-key b"],
                ["x-own", "kept"],
                ["connection", "close"],
            ])).unsafeCoerce();
            const sent = dialect.writeHead(head, SEND_MARKS);
            assert.deepEqual(sent, [
                ATTEMPT_HEADER,
                ["x-own", "kept"],
                ["sequoiamux-deadline-ms", "900"],
                ["sequoiamux-expect-instance", "i-1"],
                ["sequoiamux-priority-class", "2"],
                ["sequoiamux-tenant", "hule930"],
            ]);
        });
    });

    describe("names in a head for an upstream", () => {
        it("are sent as UTF-8", () => {
            // Failure: a letter beyond Latin-1 makes each request fail, and one within it is sent in another encoding.
            const head = dialect.readHead(makeRequest([ATTEMPT_HEADER])).unsafeCoerce();
            const names = { workspace: "Huế" as WorkspaceId, upstream: "é-1" as UpstreamId };
            const sent = new Map(dialect.writeHead(head, { ...SEND_MARKS, ...names }));
            const decode = (name: string): string => Buffer.from(sent.get(name)!, "latin1").toString();
            assert.equal(decode("sequoiamux-tenant"), "Huế");
            assert.equal(decode("sequoiamux-expect-instance"), "é-1");
            assert.equal(dialect.writeCacheQuery(names.upstream).headers[0][1], sent.get("sequoiamux-expect-instance"));
        });
    });

    describe("an upstream's head", () => {
        it("distinguishes a refusal from an answer", () => {
            assert.equal(dialect.readReply(makeReply(503, [["sequoiamux-not-executed", "1"]])).refused, true);
            assert.equal(dialect.readReply(makeReply(421, [])).misdirected, true);
            assert.equal(dialect.readReply(makeReply(503, [])).refused, false);
        });

        it("contains the upstream's limit of requests per second, if any", () => {
            const limitOf = (value: string) =>
                dialect.readReply(makeReply(200, [["server-limit", value]])).signals.requestLimit;
            assert.deepEqual(["1.3", "0", "much", "-1", ""].map(limitOf), [1.3, 0, NaN, NaN, NaN]);
            assert.equal(dialect.readReply(makeReply(200, [])).signals.requestLimit, undefined);
        });

        it("contains the time for which the upstream asks this host to back off, and whether it leaves", () => {
            const turnedAway = dialect.readReply(makeReply(503, [["retry-after", "1.5"], ["server-leaving", "1"]]));
            assert.equal(turnedAway.signals.backOffMs, 1_500);
            assert.ok(turnedAway.signals.isLeaving);
            assert.ok(!dialect.readReply(makeReply(200, [])).signals.isLeaving);
        });

        it("treats an encoded body as not signed by the upstream", () => {
            const stamp = ["sequoiamux-response-stamp", "x"] as const;
            assert.equal(dialect.readReply(makeReply(200, [stamp])).isSigned, true);
            assert.equal(dialect.readReply(makeReply(200, [stamp, ["content-encoding", "gzip"]])).isSigned, false);
        });
    });

    describe("an engine's events", () => {
        const rules = dialect.eventRules();
        const judge = (text: string): string =>
            new EventSequence(rules, undefined).judge(Buffer.from(text)).map(({ kind }): string => kind)
                .mapLeft(({ kind }) => kind).extract();

        it("have a number and data, and may state the version of the weights before them", () => {
            assert.equal(judge("id: 1\ndata: x\n\n"), "next");
            assert.equal(judge("id: 1\ndata: x\ndata: y\n\n"), "next");
            assert.equal(judge("sequoiamux-weight-versions: 3\nid: 1\ndata: x\n\n"), "next");
        });

        it("are no events in any other form", () => {
            // Failure: garbage that looks like lines of an event reaches the caller as one.
            assert.equal(judge("data: x\n\n"), "no-id");
            assert.equal(judge("id: 1\ndata: xid: 2\ndata: y\n\n"), "unproven");
            assert.equal(judge("sequoiamux-weight-versions: x\nid: 1\ndata: x\n\n"), "malformed");
            assert.equal(judge("id: 1\nsequoiamux-weight-versions: 3\ndata: x\n\n"), "malformed");
        });
    });

    describe("an engine's list of cached prompt parts", () => {
        const list = (body: unknown) => dialect.readCacheList(200, JSON.stringify(body));

        it("is parsed into prompt parts", () => {
            const held = [["", "5c1e07a2", 800, "m"], ["", "91bd3f06", 410, "m"]];
            assert.deepEqual(list({ epoch: 3, next: 7, held }).map(({ entries }) => entries).extract(), [
                { id: "5c1e07a2", tokens: 800 },
                { id: "91bd3f06", tokens: 410 },
            ]);
        });

        it("lacks only the entries that can't be used", () => {
            // Failure: one odd entry costs all that is known of an engine's cache.
            const held = [["", 7], ["", "5c1e07a2", 800, "m"], ["", "91bd3f06", 1e308], "x", ["", "e4402b7d", 4.5]];
            const { entries, rejected } = list({ held }).unsafeCoerce();
            assert.deepEqual([entries, rejected], [[{ id: "5c1e07a2", tokens: 800 }], 4]);
        });

        it("is an error when it is malformed or the status isn't 200", () => {
            assert.ok(list({ held: "none" }).isLeft());
            assert.ok(dialect.readCacheList(200, "{").isLeft());
            assert.ok(dialect.readCacheList(429, "{}").isLeft());
        });
    });

    it("writes Retry-After in seconds with fractions", () => {
        const { status, headers } = dialect.writeError(new CallError("refused", "full", 250));
        assert.equal(status, 503);
        assert.deepEqual(headers.at(-1), ["retry-after", "0.250"]);
    });
});
