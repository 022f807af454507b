import { Logger } from "../../logging/index.js";
import { Clock } from "../../ports/index.js";

/** Maximum time for which a process that is told to stop while it starts may go on starting, in milliseconds. */
const START_LIMIT_MS = 1_000;

/** Delivers the signals that a process receives, as `process` does. */
export interface SignalSource {
    on(signal: "SIGTERM" | "SIGINT" | "SIGHUP", listener: () => void): unknown;
}

/** Options of `StopSignals`. */
export interface StopSignalsOptions {
    readonly source: SignalSource;
    readonly clock: Clock;
    /** Ends the process at once: it was forced to, or told to stop before it had started. */
    readonly exitNow: (reason: "forced" | "not-started") => void;
}

/** What a process does on signals, once it has started. */
export interface SignalActions {
    readonly logger: Logger;
    /** Drains the process and ends it. */
    readonly stop: () => Promise<void>;
    /** Reloads the settings; undefined where they are read at the start only. */
    readonly reload?: () => void;
}

/**
 * Turns the signals of a process into one planned stop. Created before anything else, since the default action of each of them ends the
 * process at once.
 *
 * - SIGTERM or SIGINT begins the stop; during the start, it is deferred until the process has started, for a limited time.
 * - A further SIGTERM changes nothing: supervisors send SIGKILL to end a process at once.
 * - SIGINT during a stop forces the exit, for an operator at a terminal.
 * - SIGHUP reloads the settings, or does nothing where the process has no reload.
 *
 * @example
 * const signals = new StopSignals({ source: process, clock, exitNow });
 * signals.begin({ logger, stop: () => drainAndExit(node) });
 */
export class StopSignals {
    private actions: SignalActions | undefined;
    private isStopping = false;
    private isReloadDue = false;

    constructor(private readonly options: StopSignalsOptions) {
        const { source } = options;
        source.on("SIGTERM", () => this.requestStop("SIGTERM"));
        source.on("SIGINT", () => this.requestStop("SIGINT"));
        source.on("SIGHUP", () => this.requestReload());
    }

    /** Called once the process has started: acts on the signals that have come, and on all further ones. */
    begin(actions: SignalActions): void {
        this.actions = actions;
        if (this.isReloadDue) this.requestReload();
        if (this.isStopping) void actions.stop();
    }

    private requestStop(signal: "SIGTERM" | "SIGINT"): void {
        const { clock, exitNow } = this.options;
        if (this.isStopping) {
            this.actions?.logger.info("stop-repeated", { signal });
            if (signal === "SIGINT") exitNow("forced");
            return;
        }
        this.isStopping = true;
        if (this.actions) {
            void this.actions.stop();
            return;
        }
        clock.after(START_LIMIT_MS, () => {
            if (!this.actions) exitNow("not-started");
        });
    }

    private requestReload(): void {
        if (!this.actions) {
            this.isReloadDue = true;
            return;
        }
        const { logger, reload } = this.actions;
        if (reload) reload();
        else logger.info("reload-ignored", { reason: "the settings are read at the start only" });
    }
}
