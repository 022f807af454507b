import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { readEmulatorSettings } from "./index.js";

describe("readEmulatorSettings", () => {
    it("parses text from flags and INI files", () => {
        const settings = readEmulatorSettings({
            engines: "8",
            zones: "sohar, barka",
            checksFence: "false",
            entries: "127.0.0.1:7101,127.0.0.1:7102",
        }).unsafeCoerce();
        assert.equal(settings.engines, 8);
        assert.deepEqual(settings.zones, ["sohar", "barka"]);
        assert.equal(settings.checksFence, false);
        assert.deepEqual(settings.entries[1], { host: "127.0.0.1", port: 7102 });
    });

    it("merges the items of a repeated list without duplicates", () => {
        const { zones } = readEmulatorSettings({ zones: ["sohar,barka", "barka,muscat"] }).unsafeCoerce();
        assert.deepEqual(zones, ["sohar", "barka", "muscat"]);
    });

    for (
        const [values, expected] of [
            [{ engines: "many" }, /^engines: /],
            [{ entries: "here" }, /^entries: "here" is not IP:port/],
            [{ zones: "" }, /^zones/],
            [{ cacheLoss: 2 }, /^cacheLoss/],
            [{ speed: 1 }, /speed/],
        ] as const
    ) {
        it(`names the invalid setting in ${JSON.stringify(values)}`, () => {
            const read = readEmulatorSettings(values);
            assert.ok(read.isLeft());
            assert.match((read.extract() as Error).message, expected);
        });
    }
});
