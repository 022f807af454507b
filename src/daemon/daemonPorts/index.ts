import { HistogramSource } from "../../entry/index.js";
import { Lifecycle } from "../../lifecycle/index.js";
import { Logger } from "../../logging/index.js";
import { Metrics } from "../../metrics/index.js";
import { Clock, Http, Network, Random } from "../../ports/index.js";
import { PeerIdentity } from "../../wire/index.js";

/** A daemon's access to the machine it runs on, and its identity. */
export interface DaemonPorts {
    readonly clock: Clock;
    readonly random: Random;
    readonly network: Network;
    readonly http: Http;
    readonly logger: Logger;
    readonly metrics: Metrics;
    readonly self: PeerIdentity;
    /** Histograms kept in this process, for the operator tool. */
    readonly histograms: HistogramSource;
    /** Sends the metrics not sent yet and closes the metrics client. */
    readonly flushMetrics: () => Promise<void>;
    /** Begins a planned stop of this process. */
    readonly requestStop: () => void;
}

/** A running daemon. */
export interface DaemonProcess {
    /** Closes all parts of the process. */
    readonly lifecycle: Lifecycle;
    /** Drains the process before a planned stop. Returns false when work was left at the end of the grace period. */
    drain(): Promise<boolean>;
    /** Resolves when a part that the process can't work without has failed. */
    readonly failed?: Promise<Error>;
}
