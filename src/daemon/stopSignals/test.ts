import assert from "node:assert/strict";
import { EventEmitter } from "node:events";
import { beforeEach, describe, it } from "node:test";
import { SilentLogger } from "../../logging/index.js";
import { VirtualClock } from "../../ports/index.js";
import { SignalActions, StopSignals } from "./index.js";

describe("StopSignals", () => {
    let clock: VirtualClock;
    let source: EventEmitter;
    let signals: StopSignals;
    let events: string[];
    let actions: SignalActions;

    beforeEach(() => {
        clock = new VirtualClock();
        source = new EventEmitter();
        events = [];
        signals = new StopSignals({ source, clock, exitNow: reason => events.push(reason) });
        actions = {
            logger: new SilentLogger(),
            stop: async () => void events.push("stop"),
            reload: () => events.push("reload"),
        };
    });

    it("begins one stop, however often SIGTERM comes", () => {
        // Failure: answers are cut, as a supervisor that repeats SIGTERM ends the process at once.
        signals.begin(actions);
        for (let i = 0; i < 3; i++) source.emit("SIGTERM");
        assert.deepEqual(events, ["stop"]);
    });

    it("ends the process at once on SIGINT during a stop", () => {
        signals.begin(actions);
        source.emit("SIGINT");
        source.emit("SIGINT");
        assert.deepEqual(events, ["stop", "forced"]);
    });

    it("defers a stop until the process has started", () => {
        // Failure: requests are cut that were read before the process followed its signals, since their default action ends it.
        source.emit("SIGTERM");
        assert.deepEqual(events, []);
        signals.begin(actions);
        assert.deepEqual(events, ["stop"]);
    });

    it("ends a process that does not get started", async () => {
        source.emit("SIGTERM");
        await clock.advance(1_000);
        assert.deepEqual(events, ["not-started"]);
    });

    it("defers a reload until the process has started", () => {
        // Failure: a process that gets SIGHUP while it starts is ended.
        source.emit("SIGHUP");
        signals.begin(actions);
        assert.deepEqual(events, ["reload"]);
    });

    it("reloads during a stop too", () => {
        signals.begin(actions);
        source.emit("SIGTERM");
        source.emit("SIGHUP");
        assert.deepEqual(events, ["stop", "reload"]);
    });
});
