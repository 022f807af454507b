import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { HeaderList, HttpRequest } from "../../ports/index.js";
import { CALL_HEADERS, NativeDialect } from "./index.js";

const dialect = new NativeDialect();

function kindOf(...headers: HeaderList): string {
    const request = { headers: [[CALL_HEADERS.request, "r"], ...headers] } as unknown as HttpRequest;
    return dialect.readHead(request).map((): string => "read").mapLeft(({ kind }) => kind).extract();
}

describe("NativeDialect", () => {
    describe("a caller's numbers", () => {
        it("are read", () => {
            const headers: HeaderList = [[CALL_HEADERS.tokens, "1460,80"], [CALL_HEADERS.parts, "a:800,b:410"]];
            assert.equal(kindOf(...headers, [CALL_HEADERS.deadlineMs, "2000.5"]), "read");
            assert.equal(kindOf(), "read");
        });

        for (const text of ["abc", "-1", "1e400", "NaN", "1e308"]) {
            it(`are malformed where they are none or out of range: ${text}`, () => {
                // Failure: a cost that is no number spoils the order of the queue for all callers of its pool.
                assert.equal(kindOf([CALL_HEADERS.tokens, text]), "malformed");
                assert.equal(kindOf([CALL_HEADERS.tokens, `10,${text}`]), "malformed");
                assert.equal(kindOf([CALL_HEADERS.parts, `a:${text}`]), "malformed");
                assert.equal(kindOf([CALL_HEADERS.deadlineMs, text]), "malformed");
            });
        }
    });
});
