import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { Either, Left, Right } from "purify-ts";
import { StreamStartReply } from "../../control/index.js";
import { PoolId, RequestId, SoftwareVersion, WorkspaceId } from "../../ids/index.js";
import { VirtualClock } from "../../ports/index.js";
import { StreamStart, StreamStartLookup } from "../../resumption/index.js";
import { PositionCounter } from "../../usage/index.js";
import { PeerError, PeerLink } from "../../wire/index.js";
import { StreamStartLog } from "../streamStartLog/index.js";
import { FleetStreamStarts } from "./index.js";

const BUTCHER = "butcher" as WorkspaceId;
const ATTEMPT = "a" as RequestId;
const NOTHING: StreamStartReply = { starts: [] };
const UNREACHABLE = Left(new PeerError("unreachable", false, "control"));
/** A control process of the build before answers that it knows no such method. */
const UNKNOWN_METHOD = Left(new PeerError("failed", false, "no such method"));

function makeStart(software = "1.0"): StreamStart {
    return {
        attempt: ATTEMPT,
        workspace: BUTCHER,
        pool: "draft" as PoolId,
        software: software as SoftwareVersion,
        keepMs: 60_000,
    };
}

function knows(software = "1.0"): Either<PeerError, StreamStartReply> {
    return Right({ starts: [makeStart(software)] });
}

describe("FleetStreamStarts", () => {
    function makeStarts(...replies: Either<PeerError, StreamStartReply>[]) {
        const clock = new VirtualClock();
        const log = new StreamStartLog(clock, new PositionCounter());
        const links = replies.map(reply => ({ call: () => Promise.resolve(reply) }) as Pick<PeerLink, "call">);
        return { log, starts: new FleetStreamStarts({ clock, log, links, report: () => undefined }) };
    }

    async function find(...replies: Either<PeerError, StreamStartReply>[]): Promise<StreamStartLookup["kind"]> {
        return (await makeStarts(...replies).starts.find(BUTCHER, ATTEMPT)).kind;
    }

    it("finds a start that any of the control processes knows", async () => {
        assert.equal(await find(Right(NOTHING), Right(NOTHING), knows()), "found");
        assert.equal(await find(UNREACHABLE, UNREACHABLE, knows()), "found");
    });

    it("finds a start of this entry's own, also where no control process can be reached", async () => {
        const { log, starts } = makeStarts(UNREACHABLE, UNREACHABLE);
        log.record(makeStart());
        assert.deepEqual(await starts.find(BUTCHER, ATTEMPT), { kind: "found", start: makeStart() });
    });

    it("tells a start that nobody knows from one about which too few could be asked", async () => {
        // Neither lets a stream go on; the second may be mended by a later try.
        assert.equal(await find(Right(NOTHING), Right(NOTHING), Right(NOTHING)), "unknown");
        assert.equal(await find(Right(NOTHING), UNREACHABLE, UNREACHABLE), "unconfirmed");
        assert.equal(await find(Right(NOTHING), UNKNOWN_METHOD, UNKNOWN_METHOD), "unconfirmed");
    });

    it("finds out that an id was used for streams that began at different versions", async () => {
        assert.equal(await find(knows("1.0"), knows("2.0"), Right(NOTHING)), "ambiguous");
        const { log, starts } = makeStarts(knows("2.0"), Right(NOTHING), Right(NOTHING));
        log.record(makeStart("1.0"));
        assert.equal((await starts.find(BUTCHER, ATTEMPT)).kind, "ambiguous");
    });

    it("does not wait for hosts that do not answer once a majority knows", async () => {
        const silent = { call: () => new Promise<never>(() => undefined) } as Pick<PeerLink, "call">;
        const answering = { call: () => Promise.resolve(knows()) } as Pick<PeerLink, "call">;
        const clock = new VirtualClock();
        const log = new StreamStartLog(clock, new PositionCounter());
        const links = [silent, answering, answering];
        const starts = new FleetStreamStarts({ clock, log, links, report: () => undefined });
        assert.equal((await starts.find(BUTCHER, ATTEMPT)).kind, "found");
    });
});
