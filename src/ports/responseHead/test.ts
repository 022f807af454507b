import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { ByteBuffer } from "../byteBuffer/index.js";
import { WRONG_FIELDS } from "../wrongAnswer/index.js";
import { isResponseHead, takeResponseHead } from "./index.js";

const MAX_HEAD_BYTES = 64 * 1024;

function hold(text: string): ByteBuffer {
    const received = new ByteBuffer();
    received.append(Buffer.from(text, "latin1"));
    return received;
}

/** Returns the fault of a head with this line, or "none". */
function findFault(line: string): string {
    return takeResponseHead(hold(`HTTP/1.1 200 OK\r\n${line}\r\n\r\n`)).swap().orDefault("none");
}

describe("takeResponseHead", () => {
    it("returns the status and the headers of a head, and leaves what follows it", () => {
        const received = hold("HTTP/1.1 200 OK\r\nX-A: b\r\nx-a:c\r\nX-Empty:\r\n\r\nbody");
        const head = takeResponseHead(received).unsafeCoerce();
        const headers = [["x-a", "b"], ["x-a", "c"], ["x-empty", ""]];
        assert.deepEqual(head, { status: 200, headers, lines: ["X-A: b", "x-a:c", "X-Empty:"] });
        assert.equal(received.take().toString(), "body");
    });

    it("removes the whitespace around a value, and no byte of the value itself", () => {
        const received = hold("HTTP/1.1 200 OK\r\nX-A: \t\xa0b \t c\xff\t \r\n\r\n");
        assert.deepEqual(takeResponseHead(received).unsafeCoerce()?.headers, [["x-a", "\xa0b \t c\xff"]]);
    });

    it("drops interim heads", () => {
        const interim = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";
        const head = takeResponseHead(hold(`${interim}HTTP/1.0 204\r\n\r\n`)).unsafeCoerce();
        assert.deepEqual(head, { status: 204, headers: [], lines: [] });
    });

    it("waits for a head that comes byte by byte", () => {
        const received = new ByteBuffer();
        const bytes = Buffer.from("\r\nHTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 404 Not Found\r\nX-A: b\r\n\r\n");
        for (const byte of bytes.subarray(0, -1)) {
            received.append(Buffer.of(byte));
            assert.equal(takeResponseHead(received).unsafeCoerce(), undefined);
        }
        received.append(bytes.subarray(-1));
        const head = { status: 404, headers: [["x-a", "b"]], lines: ["X-A: b"] };
        assert.deepEqual(takeResponseHead(received).unsafeCoerce(), head);
    });

    describe("invalid fields", () => {
        for (const [name, line] of WRONG_FIELDS) {
            it(`refuses ${name}`, () => {
                // Failure: the line is passed on, changes another field, or moves the beginning of the body.
                assert.equal(findFault(line), "an invalid header field");
            });
        }

        it("refuses each byte in a name that is not one of a token", () => {
            // Failure: a name that one reader takes for another name than the next one does.
            const token = /[!#$%&'*+\-.^_`|~0-9A-Za-z]/;
            const bytes = Array.from({ length: 256 }, (_, code) => String.fromCharCode(code)).filter(byte =>
                byte !== ":"
            );
            const taken = bytes.filter(byte => findFault(`X${byte}A: b`) === "none");
            assert.deepEqual(taken, bytes.filter(byte => token.test(byte)));
        });

        it("refuses each byte in a value that is a control byte other than the tab", () => {
            // Failure: the head can't be written to the caller, whose connection is closed without an answer.
            const bytes = Array.from({ length: 256 }, (_, code) => String.fromCharCode(code));
            const refused = bytes.filter(byte => findFault(`X-A: b${byte}c`) !== "none");
            assert.deepEqual(refused, bytes.filter(byte => byte !== "\t" && (byte < " " || byte === "\x7f")));
        });
    });

    const noHeads = [
        ["a status of two digits", "HTTP/1.1 20 OK\r\n\r\n"],
        ["status 000", "HTTP/1.1 000 Odd\r\n\r\n"],
        ["status 099", "HTTP/1.1 099 Odd\r\n\r\n"],
        ["status 600", "HTTP/1.1 600 Odd\r\n\r\n"],
        ["two blanks before the status", "HTTP/1.1  200 OK\r\n\r\n"],
        ["LF in a reason", "HTTP/1.1 200 OK\nContent-Length: 4\r\n\r\n"],
        ["CR in a reason", "HTTP/1.1 200 OK\r\rContent-Length: 4\r\n\r\n"],
        ["a control byte in a reason", "HTTP/1.1 200 O\x01K\r\n\r\n"],
        ["another protocol", "RTSP/1.0 200 OK\r\n\r\n"],
        ["another version", "HTTP/2.0 200 OK\r\n\r\n"],
        ["a change of protocol", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n"],
        ["no status line", "X-A: b\r\n\r\n"],
        ["a head without end", `HTTP/1.1 200 OK\r\nX-A: ${"b".repeat(MAX_HEAD_BYTES)}`],
    ] as const;
    for (const [name, text] of noHeads) {
        it(`refuses ${name}`, () => {
            assert.ok(takeResponseHead(hold(text)).isLeft());
        });
    }
});

describe("isResponseHead", () => {
    it("takes final statuses with fields alone", () => {
        assert.equal(isResponseHead({ status: 200, headers: [] }), true);
        assert.equal(isResponseHead({ status: 599, headers: [["x-a", ""], ["x-b", "c \t\xff"]] }), true);
    });

    it("refuses other statuses, and headers that are no fields", () => {
        // Failure: a head that can't be written to the caller.
        for (const status of [199, 600, 200.5, "200", undefined]) {
            assert.equal(isResponseHead({ status, headers: [] }), false);
        }
        const wrong = [undefined, {}, [[]], [["x-a"]], [["x a", "b"]], [["x-a", "b\n"]], [["x-a", 1]], [[
            "x-a",
            "b",
            "c",
        ]]];
        for (const headers of wrong) assert.equal(isResponseHead({ status: 200, headers }), false);
    });
});
