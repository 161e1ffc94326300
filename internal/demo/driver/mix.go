package driver

import "time"

// Mixes holds the kinds of calls of each deployment by its name.
var Mixes = map[string][]Kind{
	"viti": {
		{Name: "slot check", Method: "GET", Path: "/slotboard/slots", Weight: 60, WorkTime: 4 * time.Millisecond, TailRatio: 0.02, TailFactor: 10, Short: true, Late: 500 * time.Millisecond},
		{Name: "pickup booking", Method: "POST", Path: "/pickupdesk/pickups", Weight: 20, WorkTime: 6 * time.Millisecond, AtMostOnce: true, Short: true, Late: time.Second},
		{Name: "spread confirmation", Method: "POST", Path: "/spreadlog/spreads", Weight: 12, WorkTime: 6 * time.Millisecond, AtMostOnce: true, Short: true, Late: time.Second},
		{Name: "spread export", Method: "GET", Path: "/spreadlog/export", Weight: 3, WorkTime: 40 * time.Millisecond},
	},
	"bellenblaas": {
		{Name: "stock", Method: "GET", Path: "/catalogue/stock/wand", Weight: 45, WorkTime: 5 * time.Millisecond, TailRatio: 0.02, TailFactor: 10, Short: true, Late: 250 * time.Millisecond},
		{Name: "price", Method: "GET", Path: "/catalogue/price/wand", Weight: 25, WorkTime: 4 * time.Millisecond, TailRatio: 0.02, TailFactor: 10, Short: true, Late: 250 * time.Millisecond},
		{Name: "payment", Method: "POST", Path: "/checkout/payments", Weight: 15, WorkTime: 8 * time.Millisecond, AtMostOnce: true, Short: true, Late: time.Second},
		{Name: "pallet booking", Method: "POST", Path: "/bookings/pallets", Weight: 8, WorkTime: 40 * time.Millisecond, AtMostOnce: true},
	},
}
