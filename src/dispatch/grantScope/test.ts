import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { Either, Right } from "purify-ts";
import { RequestId, UpstreamId } from "../../ids/index.js";
import { Dispatcher } from "../dispatcher/index.js";
import { Completion, Grant, Refusal, Ticket } from "../ticket/index.js";
import { GrantScope } from "./index.js";

/** Grants each ticket once it is told to, and records what is completed. */
class RecordingDispatcher extends Dispatcher {
    readonly completions: Completion[] = [];
    private readonly waiting: (() => void)[] = [];

    async submit({ request }: Ticket): Promise<Either<Refusal, Grant>> {
        await new Promise<void>(resolve => this.waiting.push(resolve));
        return Right({ request, upstream: `upstream of ${request}` as UpstreamId } as Grant);
    }

    /** Grants all tickets that wait. */
    async grantAll(): Promise<void> {
        for (const resolve of this.waiting.splice(0)) resolve();
        await new Promise<void>(resolve => setImmediate(resolve));
    }

    complete(completion: Completion): void {
        this.completions.push(completion);
    }

    progress(): void {
        // No test reads progress.
    }

    onPreempt(): void {
        // Preemption is not simulated.
    }
}

const SIGNAL = new AbortController().signal;

function makeTicket(request: string): Ticket {
    return { request: request as RequestId } as Ticket;
}

function makeCompletion(request: string, upstream = `upstream of ${request}`): Completion {
    const used = { promptTokens: 0, cachedTokens: 0, completionTokens: 0 };
    return { request: request as RequestId, upstream: upstream as UpstreamId, outcome: "answered", ...used };
}

describe("GrantScope", () => {
    const describeAll = ({ completions }: RecordingDispatcher): string[] =>
        completions.map(({ request, outcome }) => `${request} ${outcome}`);

    it("returns the grants that have not been completed, once", async () => {
        // Failure: a request that ends by an error keeps its slot for good.
        const dispatcher = new RecordingDispatcher();
        const scope = new GrantScope(dispatcher);
        const decisions = ["a", "b"].map(request => scope.submit(makeTicket(request), SIGNAL));
        await dispatcher.grantAll();
        await Promise.all(decisions);
        scope.complete(makeCompletion("a"));
        scope.close();
        scope.close();
        assert.deepEqual(describeAll(dispatcher), ["a answered", "b cancelled"]);
    });

    it("returns a grant that comes after the request has ended", async () => {
        // Failure: a ticket that was under way when its request ended is granted to nobody.
        const dispatcher = new RecordingDispatcher();
        const scope = new GrantScope(dispatcher);
        const decision = scope.submit(makeTicket("late"), SIGNAL);
        scope.close();
        await dispatcher.grantAll();
        assert.equal((await decision).isLeft(), true);
        assert.deepEqual(describeAll(dispatcher), ["late cancelled"]);
    });

    it("passes a completion of another attempt on, and keeps the grant", async () => {
        const dispatcher = new RecordingDispatcher();
        const scope = new GrantScope(dispatcher);
        const decision = scope.submit(makeTicket("a"), SIGNAL);
        await dispatcher.grantAll();
        await decision;
        scope.complete(makeCompletion("a", "another upstream"));
        scope.close();
        assert.deepEqual(describeAll(dispatcher), ["a answered", "a cancelled"]);
    });
});
