import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { parseNodeFile } from "../nodeFile/index.js";
import { readNodeSettings } from "./index.js";

const TEXT = `nodeName=core-vogar-1
ip=10.1.0.21
zone=vogar
region=sudurnes
zones.vogar=sudurnes
listen.controlPlane=10.1.0.21:8229
internalPorts=7340,7355
seeds=10.1.0.21:8229,10.2.0.38:8229
firstStart=true
dataDir=/data/control
bounds.graceS=8
bounds.reportWindowS=5
cloudApi.address=10.200.0.61:8223
`;

describe("readNodeSettings", () => {
    it("converts a machine's settings", () => {
        const settings = readNodeSettings(parseNodeFile(TEXT)).unsafeCoerce();
        assert.equal(settings.host, "core-vogar-1");
        assert.deepEqual(settings.seeds, [{ host: "10.1.0.21", port: 7340 }, { host: "10.2.0.38", port: 7340 }]);
        assert.equal(settings.isSeed, true);
        assert.equal(settings.graceMs, 8_000);
        assert.deepEqual(settings.platform, { host: "10.200.0.61", port: 8223 });
        assert.equal(settings.callers, undefined);
    });

    it("names each field that is missing or can't be read", () => {
        const broken = TEXT.replace("nodeName=core-vogar-1\n", "").replace("graceS=8", "graceS=soon");
        const problems = readNodeSettings(parseNodeFile(broken)).swap().unsafeCoerce();
        assert.deepEqual(problems, ["nodeName is missing", "bounds.graceS is no number: soon"]);
    });
});
