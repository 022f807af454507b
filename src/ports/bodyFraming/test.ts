import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { HeaderList } from "../http/index.js";
import { BodyFraming, readBodyFraming } from "./index.js";

function readFraming(headers: HeaderList, status = 200, method = "GET"): BodyFraming | string {
    return readBodyFraming({ status, headers }, method).extract();
}

function readCodings(...values: string[]): BodyFraming | string {
    return readFraming(values.map(value => ["transfer-encoding", value]));
}

describe("readBodyFraming", () => {
    it("ends a body at its length, behind its last chunk, or with its connection", () => {
        assert.equal(readFraming([["content-length", "05"]]), 5);
        assert.equal(readFraming([["transfer-encoding", "chunked"]]), "chunked");
        assert.equal(readFraming([["content-type", "text/plain"]]), "connection");
    });

    it("recognises chunked in any case, and beside empty elements of its list", () => {
        for (const values of [["Chunked"], ["chunked,"], [" , \t,chunked"], ["", "chunked"], ["chunked", ","]]) {
            assert.equal(readCodings(...values), "chunked", values.join(" | "));
        }
    });

    it("refuses other codings, several, and none", () => {
        // Failure: chunks, or bytes in a coding that nobody decodes, pass as the body.
        const wrong = [[""], [","], ["gzip"], ["gzip, chunked"], ["chunked, chunked"], ["chunked", "chunked"], [
            "chunked\xa0",
        ]];
        for (const values of wrong) {
            assert.equal(readCodings(...values), "an unsupported transfer coding", values.join(" | "));
        }
    });

    it("refuses a length beside a coding, several lengths, and one that is no number", () => {
        // Failure: two readers end the body at different bytes, and the rest passes as another answer.
        const length = ["content-length", "5"] as const;
        assert.equal(readFraming([length, ["transfer-encoding", "chunked"]]), "a length and a transfer coding");
        assert.equal(readFraming([length, length]), "several lengths");
        for (const value of ["", "+5", "-5", "0x5", "5, 5", "5 5", "9".repeat(16)]) {
            assert.equal(readFraming([["content-length", value]]), "an invalid length", value);
        }
    });

    it("gives no body to statuses and methods that exclude one, whatever the headers state", () => {
        for (const headers of [[["content-length", "5"]], [["transfer-encoding", "gzip"]], []] as const) {
            assert.deepEqual([readFraming(headers, 204), readFraming(headers, 304)], [0, 0]);
            assert.equal(readFraming(headers, 200, "HEAD"), 0);
        }
    });
});
