import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { PoolId, RequestId, SoftwareVersion } from "../../ids/index.js";
import { StreamStart } from "../../resumption/index.js";
import { Route } from "../../routing/index.js";
import { CallContext } from "../callContext/index.js";
import { CallHead } from "../callDialect/index.js";
import { PreparedCall } from "../prepareCall/index.js";
import { findLastEventId, resolveResumption } from "./index.js";

const POOL = "letters" as PoolId;
const BEGUN = "begun" as RequestId;
const START = { attempt: BEGUN, pool: POOL, software: "1" as SoftwareVersion } as StreamStart;
const ROUTE = { kind: "stream", resumable: true, targets: [{ pool: POOL, weight: 1 }] } as unknown as Route;
const CONTEXT = {
    streams: {
        find: async (_: unknown, attempt: RequestId) =>
            attempt === BEGUN ? { kind: "found", start: START } : { kind: "unknown" },
    },
} as unknown as CallContext;

function makeHead(lastEventId: string | undefined, resumes: readonly string[] = [BEGUN]): CallHead {
    return { lastEventId, resumes } as unknown as CallHead;
}

async function resolve(head: CallHead): Promise<unknown> {
    const resolved = await resolveResumption(CONTEXT, ROUTE, undefined, head);
    return resolved.mapLeft(({ kind }) => kind).extract();
}

describe("resolveResumption", () => {
    it("finds where the stream began", async () => {
        assert.equal(await resolve(makeHead("7")), START);
    });

    it("takes 0 for the id of an event where the attempt that is named has begun", async () => {
        // Failure: a stream whose ids begin at 0 goes on at another software version, or comes from its beginning again.
        assert.equal(await resolve(makeHead("0")), START);
    });

    it("begins anew at 0 where no attempt has begun", async () => {
        assert.equal(await resolve(makeHead("0", [])), undefined);
        assert.equal(await resolve(makeHead("0", ["unknown"])), undefined);
    });

    it("refuses ids of unknown attempts, and text that is no id", async () => {
        assert.equal(await resolve(makeHead("7", ["unknown"])), "not-resumable");
        for (const text of ["", "x", "-1", "01"]) assert.equal(await resolve(makeHead(text)), "malformed");
    });
});

describe("findLastEventId", () => {
    const find = (lastEventId: string | undefined, resumption: StreamStart | undefined): number | undefined =>
        findLastEventId({ head: makeHead(lastEventId), resumption } as unknown as PreparedCall);

    it("returns the event behind which a stream goes on", () => {
        assert.deepEqual([find("7", START), find("0", START)], [7, 0]);
    });

    it("returns undefined for a stream that begins at its first event", () => {
        // Failure: an upstream that counts from 0 is asked for the events behind its first one.
        assert.deepEqual([find("0", undefined), find(undefined, undefined)], [undefined, undefined]);
    });
});
