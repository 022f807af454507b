import fc from "fast-check";
import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer, IncomingMessage, request, ServerResponse } from "node:http";
import { AddressInfo } from "node:net";
import { after, before, describe, it } from "node:test";
import { decodeHeaderText, encodeHeaderText, isHeaderText } from "./index.js";

const SEED = 73;
const NAMES = ["Hue", "Huế", "Café", "Cafe\u0301", "名前", "emoji \u{1F600}", "100%", "\u00a0", "__proto__", "a:b, c"];

describe("headerText", () => {
    describe("encodeHeaderText", () => {
        it("gives different texts different values, which decode to them", () => {
            // Failure: two names become one header, or one name is sent in two encodings.
            const values = new Set(NAMES.map(encodeHeaderText));
            assert.equal(values.size, NAMES.length);
            for (const name of NAMES) assert.equal(decodeHeaderText(encodeHeaderText(name)), name);
        });

        it("gives bytes alone", () => {
            for (const name of NAMES) assert.match(encodeHeaderText(name), /^[\x20-\xff]*$/);
        });
    });

    describe("decodeHeaderText", () => {
        it("takes bytes that are not UTF-8 for Latin-1", () => {
            assert.equal(decodeHeaderText("Caf\xe9"), "Café");
            assert.equal(decodeHeaderText("Caf\xc3\xa9"), "Café");
        });
    });

    describe("isHeaderText", () => {
        it("rejects what a header can't hold, or would lose on its way", () => {
            // Failure: a line break in a name adds a header to requests.
            const texts = ["", " a", "a ", "a\r\nx-added: 1", "a\nb", "a\tb", "\u0000", "\u007f", "\ud800", "a\udc00b"];
            for (const text of texts) assert.equal(isHeaderText(text), false, JSON.stringify(text));
            for (const text of NAMES) assert.equal(isHeaderText(text), true, text);
        });
    });

    describe("between a client and a server", () => {
        const server = createServer((req: IncomingMessage, res: ServerResponse) => {
            const at = req.rawHeaders.indexOf("x-name");
            const count = req.rawHeaders.length / 2;
            res.end(JSON.stringify({ count, name: decodeHeaderText(req.rawHeaders[at + 1]) }));
        });

        before(async () => {
            server.listen(0, "127.0.0.1");
            await once(server, "listening");
        });

        after(() => server.close());

        async function exchange(text: string): Promise<{ count: number; name: string; }> {
            const { port } = server.address() as AddressInfo;
            const headers = ["host", "a", "x-name", encodeHeaderText(text), "connection", "close"];
            const req = request({ port, host: "127.0.0.1", headers: headers as unknown as string[] }).end();
            const [res] = await once(req, "response") as [IncomingMessage];
            const chunks: Buffer[] = [];
            for await (const chunk of res) chunks.push(chunk as Buffer);
            return JSON.parse(Buffer.concat(chunks).toString()) as { count: number; name: string; };
        }

        it("arrives as one header with the same text", async () => {
            const { count } = await exchange("plain");
            const text = fc.string({ unit: "binary", minLength: 1, maxLength: 20 }).filter(isHeaderText);
            await fc.assert(
                fc.asyncProperty(text, async name => {
                    const received = await exchange(name);
                    assert.deepEqual(received, { count, name });
                }),
                { seed: SEED, numRuns: 200 },
            );
        });
    });
});
