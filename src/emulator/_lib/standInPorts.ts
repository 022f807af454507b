import { Clock, Http, Random } from "../../ports/index.js";
import { KeyWatch } from "../keyWatch/index.js";

/** The ports a stand-in runs on, and the watch it shares with others. */
export interface StandInPorts {
    readonly clock: Clock;
    readonly random: Random;
    readonly http: Http;
    readonly keyWatch: KeyWatch;
}
