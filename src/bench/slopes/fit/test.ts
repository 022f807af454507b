import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { fitLine, predict } from "./index.js";

describe("fitLine", () => {
    it("finds base and slope of points on a line", () => {
        const fit = fitLine([10, 20, 30, 40].map(x => ({ x, samples: [5 + 2 * x, 5 + 2 * x] })));
        assert.ok(Math.abs(fit.base - 5) < 1e-9);
        assert.ok(Math.abs(fit.perUnit - 2) < 1e-9);
        assert.ok(fit.rSquared > 0.999);
        assert.ok(Math.abs(predict(fit, 100) - 205) < 1e-9);
    });

    it("reports the scatter of samples around the line", () => {
        const fit = fitLine([1, 2, 3, 4].map(x => ({ x, samples: [x - 1, x + 1] })));
        assert.ok(fit.standardError > 0.1);
        assert.ok(fit.rSquared < 0.7);
    });

    it("refuses fewer than four points", () => {
        assert.throws(() => fitLine([{ x: 1, samples: [1, 2, 3, 4] }]), RangeError);
    });
});
