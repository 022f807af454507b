import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { HostId } from "../../ids/index.js";
import { VirtualClock } from "../../ports/index.js";
import { JsonLogger, LogLevel } from "./index.js";

const KEY = `sqx_${"0123456789abcdef".repeat(2)}`;

function makeLogger(level: LogLevel) {
    const lines: string[] = [];
    const host = "vogar-1" as HostId;
    const logger = new JsonLogger({
        host,
        role: "entry",
        level,
        clock: new VirtualClock(),
        write: line => lines.push(line),
    });
    return { logger, lines };
}

describe("JsonLogger", () => {
    it("writes one JSON line for each event", () => {
        const { logger, lines } = makeLogger("info");
        logger.warn("peer-lost", { peer: "keflavik-1", calls: 3 });
        const { time, ...rest } = JSON.parse(lines[0]);
        assert.equal(lines.length, 1);
        assert.match(time, /^\d{4}-\d\d-\d\dT/);
        assert.deepEqual(rest, {
            level: "warn",
            host: "vogar-1",
            role: "entry",
            event: "peer-lost",
            peer: "keflavik-1",
            calls: 3,
        });
    });

    it("keeps a field that has a reserved name under a prefixed one", () => {
        const { logger, lines } = makeLogger("info");
        logger.info("joined", { host: "keflavik-1" });
        const line = JSON.parse(lines[0]);
        assert.equal(line.host, "vogar-1");
        assert.equal(line["field.host"], "keflavik-1");
    });

    it("omits lines below its level", () => {
        const { logger, lines } = makeLogger("warn");
        logger.debug("a");
        logger.info("b");
        logger.error("c");
        assert.equal(lines.length, 1);
    });

    describe("a key in a line", () => {
        // An error message can quote a request's header or URL, and so carry a caller's key into a log line, from which any reader
        // of the logs could use it.
        for (
            const [place, write] of [
                ["a value", (logger: JsonLogger) => logger.info("bad", { header: `Bearer ${KEY}` })],
                ["a field's name", (logger: JsonLogger) => logger.info("bad", { [KEY]: 1 })],
                ["the event", (logger: JsonLogger) => logger.info(`bad ${KEY}`)],
                ["upper case", (logger: JsonLogger) => logger.info("bad", { text: KEY.toUpperCase() })],
                [
                    "a URL's escapes",
                    (logger: JsonLogger) => logger.info("bad", { url: `/?k=${KEY.replace("_", "%5F")}` }),
                ],
            ] as const
        ) {
            it(`is redacted in ${place}`, () => {
                const { logger, lines } = makeLogger("info");
                write(logger);
                assert.doesNotMatch(lines[0], /0123456789abcdef/i);
                assert.match(lines[0], /redacted/);
            });
        }
    });
});
