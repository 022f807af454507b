import { HistogramSource } from "../../entry/index.js";
import { Lifecycle } from "../../lifecycle/index.js";
import { Logger } from "../../logging/index.js";
import { Metrics } from "../../metrics/index.js";
import { Clock, Http, Network, Random } from "../../ports/index.js";
import { PeerIdentity } from "../../wire/index.js";

/** What a daemon takes from the machine, and who it is. */
export interface DaemonPorts {
    readonly clock: Clock;
    readonly random: Random;
    readonly network: Network;
    readonly http: Http;
    readonly logger: Logger;
    readonly metrics: Metrics;
    readonly self: PeerIdentity;
    /** The histograms kept in this process. */
    readonly histograms: HistogramSource;
    /** Sends the last figures. */
    readonly closeFigures: () => Promise<void>;
    /** Begins a planned stop of this process. */
    readonly requestStop: () => void;
}

/** A daemon that runs. */
export interface DaemonProcess {
    readonly lifecycle: Lifecycle;
    /** Prepares a planned stop; false when work was left at the end of the grace period. */
    drain(): Promise<boolean>;
    /** Settles when a part has failed without which the process is of no use. */
    readonly failed?: Promise<Error>;
}
