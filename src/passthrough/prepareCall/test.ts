import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { Either, Right } from "purify-ts";
import { RequestId } from "../../ids/index.js";
import { HttpRequest, SystemRandom, VirtualClock } from "../../ports/index.js";
import { checkDocument, makeDocument, makeRoute, RouteTable } from "../../routing/index.js";
import { CallContext } from "../callContext/index.js";
import { CallHead } from "../callDialect/index.js";
import { CallError } from "../callError/index.js";
import { prepareCall, PreparedCall } from "./index.js";

const TIMEOUT_MS = 4_000;

/** Prepares a call whose body takes a time. */
async function prepare(bodyMs: number, deadlineMs?: number) {
    const clock = new VirtualClock();
    const document = makeDocument({ routes: [makeRoute({ keyless: true, timeoutMs: TIMEOUT_MS })] });
    const routes = new RouteTable(checkDocument(document).unsafeCoerce());
    const ctx = {
        clock,
        random: new SystemRandom(),
        view: { routes: () => routes, isFresh: () => true },
        crashes: { quarantineLeftMs: () => undefined },
        parts: { findQuarantine: () => undefined },
    } as unknown as CallContext;
    const req = {
        method: "POST",
        path: "/orders/1",
        headers: [["host", "shop.example"]],
        body: async () => {
            await clock.sleep(bodyMs);
            return Right(Buffer.from("order"));
        },
    } as unknown as HttpRequest;
    const head = { request: "r" as RequestId, parts: [], resumes: [], deadlineMs } as unknown as CallHead;
    const prepared: Promise<Either<CallError, PreparedCall>> = prepareCall(ctx, req, Right(head));
    const result = await clock.runUntil(prepared, 60_000);
    return {
        tookMs: clock.monotonic(),
        kind: result.map((): string => "prepared").mapLeft(({ kind }) => kind).extract(),
    };
}

describe("prepareCall", () => {
    describe("a body that comes slowly", () => {
        it("is waited for within the call's time", async () => {
            assert.deepEqual(await prepare(3_900), { tookMs: 3_900, kind: "prepared" });
        });

        it("ends the call at the timeout of its route", async () => {
            // Failure: a caller whose link is slow gets no answer at the route's timeout, nor at its own deadline.
            assert.deepEqual(await prepare(9_000), { tookMs: TIMEOUT_MS, kind: "body-timeout" });
        });

        it("ends the call at its caller's deadline where that is sooner", async () => {
            assert.deepEqual(await prepare(9_000, 1_500), { tookMs: 1_500, kind: "body-timeout" });
        });
    });
});
