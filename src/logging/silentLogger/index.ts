import { Logger } from "../logger/index.js";

/** Discards all lines; for tests and benchmarks. */
export class SilentLogger extends Logger {
    debug(): void {}
    info(): void {}
    warn(): void {}
    error(): void {}
}
